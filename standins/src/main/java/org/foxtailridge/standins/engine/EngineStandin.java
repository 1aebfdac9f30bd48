package org.foxtailridge.standins.engine;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.time.ThreadEventLoop;

/**
 * Stand-in of a model engine.
 *
 * <pre>{@code
 * try (EngineStandin engine =
 *         EngineStandin.builder("engine-1")
 *                 .preload(Preloaded.model("scribe", "1", 1L << 30, 1L << 30))
 *                 .start()) {
 *     engine.address();
 * }
 * }</pre>
 */
public final class EngineStandin implements AutoCloseable {
    private final EventLoop mLoop;
    private final WeightLoader mLoader;
    private final EngineRoutes mRoutes;
    private final StandinServer mServer;

    private EngineStandin(Builder builder) {
        EngineSettings settings = builder.settings();
        mLoop =
                builder.mLoop == null
                        ? ThreadEventLoop.start("engine-standin " + settings.name())
                        : builder.mLoop;
        mLoader =
                builder.mWeightStore == null
                        ? WeightLoader.immediate()
                        : new HttpWeightLoader(builder.mWeightStore);
        mRoutes = new EngineRoutes(settings, mLoop, mLoader);
        mServer =
                StandinServer.start(
                        "engine-standin-http " + settings.name(),
                        builder.mPort,
                        mLoop,
                        mRoutes::handle);
        mRoutes.attach(mServer);
    }

    /**
     * Returns a builder.
     *
     * @param name name by which the engine is known to the weight store
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Returns the base address. */
    public URI address() {
        return mServer.address();
    }

    /** Sets all fault switches; those absent from the argument are switched off. */
    public void setFaults(EngineFaults faults) {
        mLoop.execute(() -> mRoutes.applyFaults(faults));
    }

    /** Reports the engine as leaving, or no longer so. */
    public void setLeaving(boolean leaving) {
        mLoop.execute(() -> mRoutes.core().setLeaving(leaving));
    }

    /** Returns the engine's record of all attempts. */
    public List<EngineExecution> executions() {
        return mLoop.call(mRoutes::executions);
    }

    /** Returns the most memory that was ever charged, in bytes. */
    public long peakUsedBytes() {
        return mLoop.call(() -> mRoutes.core().peakUsedBytes());
    }

    @Override
    public void close() {
        mServer.close();
        mLoader.close();
        mLoop.close();
    }

    /** Builds and starts an {@link EngineStandin}. */
    public static final class Builder {
        private final String mName;
        private final List<Preloaded> mPreloaded = new ArrayList<>();
        private EventLoop mLoop;
        private URI mWeightStore;
        private int mPort;
        private long mSeed = 1;
        private long mMemoryBytes = 80L << 30;
        private long mKvBytesPerToken = 16 << 10;
        private Duration mFirstToken = Duration.ZERO;
        private Duration mPrefillPerToken = Duration.ZERO;
        private Duration mBetweenTokens = Duration.ZERO;
        private int mMeanTokens;
        private int mMaximumRunning = 256;
        private int mMaximumWaiting = 1_024;
        private long mPrefixCacheTokens = 100_000;
        private Duration mLoadReportLag = Duration.ZERO;
        private Duration mCacheEventLag = Duration.ZERO;
        private double mCacheEventLoss;
        private boolean mHonoursFencing = true;
        private Duration mResumeWindow = Duration.ofSeconds(10);

        private Builder(String name) {
            mName = Objects.requireNonNull(name, "name");
        }

        /** Sets the loop that gives time and delays; by default a thread in real time. */
        public Builder loop(EventLoop loop) {
            mLoop = loop;
            return this;
        }

        /** Sets the port; 0 picks a free one. */
        public Builder port(int port) {
            mPort = port;
            return this;
        }

        /** Sets the seed of random numbers. */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /** Sets the accelerator memory, in bytes. */
        public Builder memoryBytes(long bytes) {
            mMemoryBytes = bytes;
            return this;
        }

        /** Sets the KV memory that each token takes, in bytes. */
        public Builder kvBytesPerToken(long bytes) {
            mKvBytesPerToken = bytes;
            return this;
        }

        /** Adds a model or adapter that is resident from the start; adapters after their model. */
        public Builder preload(Preloaded entry) {
            mPreloaded.add(entry);
            return this;
        }

        /** Sets the time to the first token of a prompt that is wholly cached. */
        public Builder firstToken(Duration duration) {
            mFirstToken = duration;
            return this;
        }

        /** Sets the time for each prompt token that is not cached. */
        public Builder prefillPerToken(Duration duration) {
            mPrefillPerToken = duration;
            return this;
        }

        /** Sets the time between tokens; zero for as fast as the caller takes them. */
        public Builder betweenTokens(Duration duration) {
            mBetweenTokens = duration;
            return this;
        }

        /** Sets the mean length of answers; 0 for answers up to {@code max_tokens}. */
        public Builder meanTokens(int tokens) {
            mMeanTokens = tokens;
            return this;
        }

        /** Sets how many attempts run at once. */
        public Builder maximumRunning(int attempts) {
            mMaximumRunning = attempts;
            return this;
        }

        /** Sets how many attempts wait. */
        public Builder maximumWaiting(int attempts) {
            mMaximumWaiting = attempts;
            return this;
        }

        /** Sets how many tokens the prefix cache holds. */
        public Builder prefixCacheTokens(long tokens) {
            mPrefixCacheTokens = tokens;
            return this;
        }

        /** Sets the age that the load report reaches. */
        public Builder loadReportLag(Duration lag) {
            mLoadReportLag = lag;
            return this;
        }

        /** Sets the time after which cache events are published. */
        public Builder cacheEventLag(Duration lag) {
            mCacheEventLag = lag;
            return this;
        }

        /** Sets the share of cache events that are lost, from 0 to 1. */
        public Builder cacheEventLoss(double share) {
            mCacheEventLoss = share;
            return this;
        }

        /** Sets whether orders with an old fencing number are refused. */
        public Builder honoursFencing(boolean honours) {
            mHonoursFencing = honours;
            return this;
        }

        /** Sets how long an attempt goes on after its stream broke. */
        public Builder resumeWindow(Duration window) {
            mResumeWindow = window;
            return this;
        }

        /** Sets the weight store; without one, loads take no time. */
        public Builder weightStore(URI address) {
            mWeightStore = address;
            return this;
        }

        /** Starts the stand-in. */
        public EngineStandin start() {
            return new EngineStandin(this);
        }

        private EngineSettings settings() {
            return new EngineSettings(
                    mName,
                    mMemoryBytes,
                    mKvBytesPerToken,
                    mFirstToken,
                    mPrefillPerToken,
                    mBetweenTokens,
                    mMeanTokens,
                    mMaximumRunning,
                    mMaximumWaiting,
                    mPrefixCacheTokens,
                    mLoadReportLag,
                    mCacheEventLag,
                    mCacheEventLoss,
                    mHonoursFencing,
                    mResumeWindow,
                    List.copyOf(mPreloaded),
                    mSeed);
        }
    }
}
