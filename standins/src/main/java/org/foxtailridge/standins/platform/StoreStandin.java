package org.foxtailridge.standins.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailridge.standins.server.RateBucket;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.time.ThreadEventLoop;

/**
 * Stand-in of the platform's metadata store: partitions of records, newest records of keys, and
 * groups that deal partitions out.
 *
 * <pre>{@code
 * try (StoreStandin store = StoreStandin.builder().start()) {
 *     store.publish(OperatorConfiguration.builder(1).service("bids", 100).toJson());
 *     StoreDoor other = store.openDoor();      // for nodes that are turned away later
 *     other.setFaults(StoreFaults.turningAway());
 * }
 * }</pre>
 */
public final class StoreStandin implements AutoCloseable {
    private static final String OPERATOR_TOPIC = "keyed.op";
    private static final String CONFIGURATION_KEY = "config";
    private static final String WORKERS_TOPIC = "keyed.servers";
    private static final int UNSIGNED_BYTE = 0xff;

    private final EventLoop mLoop;
    private final StoreState mState;
    private final RateBucket mWrites;
    private final RateBucket mReads;
    private final List<StoreDoor> mDoors = new ArrayList<>();

    private StoreStandin(Builder builder) {
        mLoop = builder.mLoop == null ? ThreadEventLoop.start("store-standin") : builder.mLoop;
        mState = new StoreState(builder.mPartitions, builder.mRetention);
        mWrites = new RateBucket(mLoop.clock(), builder.mWritesPerSecond);
        mReads = new RateBucket(mLoop.clock(), builder.mReadsPerSecond);
        mDoors.add(new StoreDoor(mState, mLoop, mWrites, mReads, builder.mPort));
    }

    /** Returns a builder with the settings of a small site. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the base address of the first door. */
    public URI address() {
        return door().address();
    }

    /** Returns the first door. */
    public StoreDoor door() {
        return mDoors.get(0);
    }

    /** Opens a further address of the same store. */
    public synchronized StoreDoor openDoor() {
        StoreDoor door = new StoreDoor(mState, mLoop, mWrites, mReads, 0);
        mDoors.add(door);
        return door;
    }

    /** Writes the operator's configuration, whatever the faults of the doors. */
    public void publish(String configuration) {
        write(OPERATOR_TOPIC, CONFIGURATION_KEY, configuration);
    }

    /** Writes the entry of a worker; an empty one removes it. */
    public void announce(String worker, String entry) {
        write(WORKERS_TOPIC, worker, entry);
    }

    /** Deletes all records but the newest of each key. */
    public void forgetHistory() {
        mLoop.call(
                () -> {
                    mState.forgetHistory();
                    return null;
                });
    }

    /** Deals the partitions of all groups out anew, as the platform does at times. */
    public void dealAnew() {
        mLoop.call(
                () -> {
                    mState.dealAnew();
                    return null;
                });
    }

    /** Returns the number of calls that came through all doors. */
    public long calls() {
        return mLoop.call(() -> mDoors.stream().mapToLong(StoreDoor::calls).sum());
    }

    @Override
    public synchronized void close() {
        mDoors.forEach(StoreDoor::close);
        mLoop.close();
    }

    private void write(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        if (name.length == 0 || name.length > UNSIGNED_BYTE) {
            throw new IllegalArgumentException("key must take 1 to 255 bytes but was " + key);
        }
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[1 + name.length + content.length];
        record[0] = (byte) name.length;
        System.arraycopy(name, 0, record, 1, name.length);
        System.arraycopy(content, 0, record, 1 + name.length, content.length);
        mLoop.call(
                () -> {
                    mState.partition(topic, 0)
                            .append(
                                    List.of(record),
                                    OptionalLong.empty(),
                                    Optional.empty(),
                                    mLoop.clock().instant());
                    mState.changed();
                    return null;
                });
    }

    /** Builds and starts a {@link StoreStandin}. */
    public static final class Builder {
        private EventLoop mLoop;
        private int mPort;
        private int mPartitions = 12;
        private Duration mRetention = Duration.ofSeconds(20);
        private double mWritesPerSecond = 400;
        private double mReadsPerSecond = 2_000;

        private Builder() {}

        /** Sets the loop that gives time and delays; by default a thread in real time. */
        public Builder loop(EventLoop loop) {
            mLoop = loop;
            return this;
        }

        /** Sets the port of the first door; 0 picks a free one. */
        public Builder port(int port) {
            mPort = port;
            return this;
        }

        /** Sets how many partitions a topic has whose records are not kept by key. */
        public Builder partitions(int partitions) {
            mPartitions = partitions;
            return this;
        }

        /** Sets how long records are kept. */
        public Builder retention(Duration retention) {
            mRetention = retention;
            return this;
        }

        /** Sets how many writing calls a second are taken. */
        public Builder writesPerSecond(double calls) {
            mWritesPerSecond = calls;
            return this;
        }

        /** Sets how many reading calls a second are taken. */
        public Builder readsPerSecond(double calls) {
            mReadsPerSecond = calls;
            return this;
        }

        /** Starts the stand-in. */
        public StoreStandin start() {
            return new StoreStandin(this);
        }
    }
}
