package org.foxtailridge.cli.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.standins.engine.EngineStandin;
import org.foxtailridge.standins.engine.Preloaded;

/** Runs a model engine. */
@Command(name = "engine", description = "Runs a model engine")
public final class EngineCommand implements OperatorCommand {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    @Option(
            name = "--port",
            title = "PORT",
            description = "Port on the loopback address; 0 picks a free one (default 0)")
    private int mPort = 0;

    @Option(
            name = "--name",
            title = "NAME",
            description = "Name by which the weight store knows it (default engine)")
    private String mName = "engine";

    @Option(
            name = "--model",
            title = "NAME,VERSION,BYTES[,WORKING_BYTES]",
            description = "Model that is resident from the start; repeatable")
    private List<String> mModels = new ArrayList<>();

    @Option(
            name = "--adapter",
            title = "NAME,MODEL,VERSION,BYTES",
            description = "Adapter that is resident from the start; repeatable")
    private List<String> mAdapters = new ArrayList<>();

    @Option(
            name = "--memory-bytes",
            title = "BYTES",
            description = "Accelerator memory (default 85899345920)")
    private long mMemoryBytes = 80L << 30;

    @Option(
            name = "--kv-bytes-per-token",
            title = "BYTES",
            description = "KV memory of each token (default 16384)")
    private long mKvBytesPerToken = 16_384;

    @Option(
            name = "--first-token-ms",
            title = "MILLISECONDS",
            description = "Time to the first token of a cached prompt (default 20)")
    private double mFirstTokenMilliseconds = 20;

    @Option(
            name = "--prefill-token-ms",
            title = "MILLISECONDS",
            description = "Time for each prompt token that is not cached (default 0)")
    private double mPrefillMilliseconds = 0;

    @Option(
            name = "--between-tokens-ms",
            title = "MILLISECONDS",
            description = "Time between tokens; 0 for as fast as possible (default 10)")
    private double mBetweenMilliseconds = 10;

    @Option(
            name = "--mean-tokens",
            title = "N",
            description = "Mean length of answers; 0 for up to max_tokens (default 0)")
    private int mMeanTokens = 0;

    @Option(
            name = "--load-report-lag-ms",
            title = "MILLISECONDS",
            description = "Age that the load report reaches (default 500)")
    private long mLoadReportLagMilliseconds = 500;

    @Option(
            name = "--cache-event-lag-ms",
            title = "MILLISECONDS",
            description = "Time after which cache events are published (default 500)")
    private long mCacheEventLagMilliseconds = 500;

    @Option(
            name = "--cache-event-loss",
            title = "SHARE",
            description = "Share of cache events that are lost, from 0 to 1 (default 0)")
    private double mCacheEventLoss = 0;

    @Option(name = "--ignore-fencing", description = "Execute orders with an old fencing number")
    private boolean mIgnoreFencing = false;

    @Option(
            name = "--weight-store",
            title = "ADDRESS",
            description = "Base address of the weight store; without one, loads take no time")
    private String mWeightStore;

    @Option(name = "--seed", title = "SEED", description = "Seed of random numbers (default 1)")
    private long mSeed = 1;

    @Override
    public ExitCode run(Terminal terminal) {
        EngineStandin.Builder builder =
                EngineStandin.builder(mName)
                        .port(mPort)
                        .seed(mSeed)
                        .memoryBytes(mMemoryBytes)
                        .kvBytesPerToken(mKvBytesPerToken)
                        .meanTokens(mMeanTokens)
                        .cacheEventLoss(mCacheEventLoss)
                        .honoursFencing(!mIgnoreFencing)
                        .weightStore(mWeightStore == null ? null : URI.create(mWeightStore));
        setTimes(builder);
        mModels.forEach(text -> builder.preload(Preloaded.parseModel(text)));
        mAdapters.forEach(text -> builder.preload(Preloaded.parseAdapter(text)));
        EngineStandin engine = builder.start();
        return ReadyLine.printAndRun(terminal, engine.address(), engine);
    }

    private void setTimes(EngineStandin.Builder builder) {
        builder.firstToken(milliseconds(mFirstTokenMilliseconds))
                .prefillPerToken(milliseconds(mPrefillMilliseconds))
                .betweenTokens(milliseconds(mBetweenMilliseconds))
                .loadReportLag(Duration.ofMillis(mLoadReportLagMilliseconds))
                .cacheEventLag(Duration.ofMillis(mCacheEventLagMilliseconds));
    }

    private static Duration milliseconds(double milliseconds) {
        return Duration.ofNanos((long) (milliseconds * NANOSECONDS_PER_MILLISECOND));
    }
}
