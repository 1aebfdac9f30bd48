package org.foxtailridge.cli.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.standins.vms.VmListStandin;

/** Runs a VM list that lags. */
@Command(name = "vm-list", description = "Runs a VM list that lags")
public final class VmListCommand implements OperatorCommand {
    @Option(
            name = "--port",
            title = "PORT",
            description = "Port on the loopback address; 0 picks a free one (default 0)")
    private int mPort = 0;

    @Option(
            name = "--lag-ms",
            title = "MILLISECONDS",
            description = "Milliseconds by which the list lags (default 0)")
    private long mLagMilliseconds = 0;

    @Override
    public ExitCode run(Terminal terminal) {
        VmListStandin vms =
                VmListStandin.builder()
                        .port(mPort)
                        .lag(Duration.ofMillis(mLagMilliseconds))
                        .start();
        return ReadyLine.printAndRun(terminal, vms.address(), vms);
    }
}
