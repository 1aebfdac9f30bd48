package org.foxtailridge.standins.weights;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.RateBucket;
import org.foxtailridge.standins.server.Refusal;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.time.ThreadEventLoop;

/**
 * Stand-in of the weight store: a limit on models that start loading each second, and full speed up
 * to a number of loads at once.
 *
 * <pre>{@code
 * try (WeightStoreStandin store = WeightStoreStandin.builder().loadsPerSecond(1.5).start()) {
 *     store.address();
 * }
 * }</pre>
 */
public final class WeightStoreStandin implements AutoCloseable {
    private static final int SHORTEST_ADAPTER_MICROSECONDS = 5_000;
    private static final int LONGEST_ADAPTER_MICROSECONDS = 10_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final EventLoop mLoop;
    private final RateBucket mStarts;
    private final SharedTransfers mModels;
    private final SharedTransfers mAdapters;
    private final UniformRandomProvider mRandom;
    private final double mBytesPerSecond;
    private final StandinServer mServer;
    private WeightStoreFaults mFaults = new WeightStoreFaults(false, 0, 0, 0);
    private int mAnswersToLose;

    private WeightStoreStandin(Builder settings) {
        mLoop =
                settings.mLoop == null
                        ? ThreadEventLoop.start("weight-store-standin")
                        : settings.mLoop;
        mStarts = new RateBucket(mLoop.clock(), settings.mLoadsPerSecond);
        mModels = new SharedTransfers(settings.mLoadsAtFullSpeed);
        mAdapters = new SharedTransfers(settings.mAdaptersInTransit);
        mRandom = RandomSource.XO_SHI_RO_256_PP.create(settings.mSeed);
        mBytesPerSecond = settings.mBytesPerSecond;
        mServer =
                StandinServer.start(
                        "weight-store-standin-http", settings.mPort, mLoop, this::route);
    }

    /** Returns a builder with the limits of a small site. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the base address. */
    public URI address() {
        return mServer.address();
    }

    /** Sets all fault switches. */
    public void setFaults(WeightStoreFaults faults) {
        mLoop.execute(() -> applyFaults(faults));
    }

    @Override
    public void close() {
        mServer.close();
        mLoop.close();
    }

    private void route(Exchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /loads" -> {
                LoadRequest load = exchange.body(LoadRequest.class);
                mLoop.execute(() -> load(exchange, load));
            }
            case "POST /faults" -> {
                WeightStoreFaults faults = exchange.body(WeightStoreFaults.class);
                mLoop.execute(
                        () -> {
                            applyFaults(faults);
                            exchange.answer(204);
                        });
            }
            default -> exchange.answer(404, Refusal.notStarted("unknown_path"));
        }
    }

    private void load(Exchange exchange, LoadRequest load) {
        if (mFaults.outage()) {
            exchange.answer(503, Refusal.notStarted("outage"));
            return;
        }
        if (load.isAdapter()) {
            int range = LONGEST_ADAPTER_MICROSECONDS - SHORTEST_ADAPTER_MICROSECONDS;
            int micros = SHORTEST_ADAPTER_MICROSECONDS + mRandom.nextInt(range);
            transfer(mAdapters, Duration.ofNanos(micros * 1_000L), exchange);
            return;
        }
        if (!mStarts.tryTake()) {
            exchange.answerHeader("Retry-After", "1").answer(429, Refusal.notStarted("load_rate"));
            return;
        }
        double seconds = Math.max(0, load.bytes()) / mBytesPerSecond;
        long nanoseconds = (long) (seconds * NANOSECONDS_PER_SECOND);
        transfer(mModels, Duration.ofNanos(nanoseconds), exchange);
    }

    private void transfer(SharedTransfers transfers, Duration duration, Exchange exchange) {
        transfers.add(duration, () -> finish(exchange), mLoop.clock().instant());
        settle(transfers);
    }

    private void settle(SharedTransfers transfers) {
        transfers.takeDone(mLoop.clock().instant()).forEach(Runnable::run);
        Duration next = transfers.untilNext();
        long change = transfers.countChange();
        if (next != null) {
            mLoop.after(next, () -> settleUnlessChanged(transfers, change));
        }
    }

    private void settleUnlessChanged(SharedTransfers transfers, long change) {
        if (transfers.changes() == change) {
            settle(transfers);
        }
    }

    private void finish(Exchange exchange) {
        if (mAnswersToLose > 0) {
            mAnswersToLose--;
            exchange.cut();
            return;
        }
        exchange.answer(200, new Loaded(true));
    }

    private void applyFaults(WeightStoreFaults faults) {
        mFaults = Objects.requireNonNull(faults, "faults");
        mAnswersToLose = faults.loseAnswers();
        mServer.disturb(faults.refuseMs(), faults.holdMs());
    }

    private record Loaded(boolean complete) {}

    /** Builds and starts a {@link WeightStoreStandin}. */
    public static final class Builder {
        private EventLoop mLoop;
        private int mPort;
        private long mSeed = 1;
        private double mLoadsPerSecond = 1.5;
        private int mLoadsAtFullSpeed = 7;
        private int mAdaptersInTransit = 55;
        private double mBytesPerSecond = 20e9;

        private Builder() {}

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

        /** Sets the seed of the transfer times of adapters. */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /** Sets how many models may start loading each second. */
        public Builder loadsPerSecond(double loads) {
            mLoadsPerSecond = loads;
            return this;
        }

        /** Sets how many models load at once at full speed. */
        public Builder loadsAtFullSpeed(int loads) {
            mLoadsAtFullSpeed = loads;
            return this;
        }

        /** Sets how many adapters are in transit at once at full speed. */
        public Builder adaptersInTransit(int adapters) {
            mAdaptersInTransit = adapters;
            return this;
        }

        /** Sets the full speed of one model's load. */
        public Builder bytesPerSecond(double bytesPerSecond) {
            mBytesPerSecond = bytesPerSecond;
            return this;
        }

        /** Starts the stand-in. */
        public WeightStoreStandin start() {
            return new WeightStoreStandin(this);
        }
    }
}
