package org.foxtailridge.cli.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.standins.log.LogStandin;

/** Runs a log service in memory. */
@Command(name = "log", description = "Runs a log service in memory")
public final class LogCommand implements OperatorCommand {
    @Option(
            name = "--port",
            title = "PORT",
            description = "Port on the loopback address; 0 picks a free one (default 0)")
    private int mPort = 0;

    @Option(
            name = "--retained-records",
            title = "N",
            description = "Records that each stream keeps (default 1000000)")
    private int mRetainedRecords = 1_000_000;

    @Option(
            name = "--retained-seconds",
            title = "SECONDS",
            description = "Seconds for which records are kept (default 604800)")
    private long mRetainedSeconds = 604_800;

    @Option(
            name = "--appends-per-second",
            title = "N",
            description = "Appends taken each second (default 500)")
    private double mAppendsPerSecond = 500;

    @Override
    public ExitCode run(Terminal terminal) {
        LogStandin log =
                LogStandin.builder()
                        .port(mPort)
                        .retainedRecords(mRetainedRecords)
                        .retention(Duration.ofSeconds(mRetainedSeconds))
                        .appendsPerSecond(mAppendsPerSecond)
                        .start();
        return ReadyLine.printAndRun(terminal, log.address(), log);
    }
}
