package org.foxtailridge.cli.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.standins.service.ServiceStandin;

/** Runs a plain service with lookups, bookings and bids. */
@Command(name = "service", description = "Runs a plain service with lookups, bookings and bids")
public final class ServiceCommand implements OperatorCommand {
    @Option(
            name = "--port",
            title = "PORT",
            description = "Port on the loopback address; 0 picks a free one (default 0)")
    private int mPort = 0;

    @Override
    public ExitCode run(Terminal terminal) {
        ServiceStandin service = ServiceStandin.builder().port(mPort).start();
        return ReadyLine.printAndRun(terminal, service.address(), service);
    }
}
