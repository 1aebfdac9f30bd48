package org.foxtailridge.cli.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.standins.weights.WeightStoreStandin;

/** Runs a weight store with limits. */
@Command(name = "weight-store", description = "Runs a weight store with limits")
public final class WeightStoreCommand implements OperatorCommand {
    @Option(
            name = "--port",
            title = "PORT",
            description = "Port on the loopback address; 0 picks a free one (default 0)")
    private int mPort = 0;

    @Option(
            name = "--loads-per-second",
            title = "N",
            description = "Models that may start loading each second (default 1.5)")
    private double mLoadsPerSecond = 1.5;

    @Option(
            name = "--loads-at-full-speed",
            title = "N",
            description = "Models that load at once at full speed (default 7)")
    private int mLoadsAtFullSpeed = 7;

    @Option(
            name = "--adapters-in-transit",
            title = "N",
            description = "Adapters that load at once at full speed (default 55)")
    private int mAdaptersInTransit = 55;

    @Option(
            name = "--bytes-per-second",
            title = "BYTES",
            description = "Full speed of one load (default 20e9)")
    private double mBytesPerSecond = 20e9;

    @Option(
            name = "--seed",
            title = "SEED",
            description = "Seed of the transfer times of adapters (default 1)")
    private long mSeed = 1;

    @Override
    public ExitCode run(Terminal terminal) {
        WeightStoreStandin store =
                WeightStoreStandin.builder()
                        .port(mPort)
                        .seed(mSeed)
                        .loadsPerSecond(mLoadsPerSecond)
                        .loadsAtFullSpeed(mLoadsAtFullSpeed)
                        .adaptersInTransit(mAdaptersInTransit)
                        .bytesPerSecond(mBytesPerSecond)
                        .start();
        return ReadyLine.printAndRun(terminal, store.address(), store);
    }
}
