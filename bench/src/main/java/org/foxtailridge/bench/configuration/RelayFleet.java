package org.foxtailridge.bench.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.follow.ConfigurationFollower;
import org.foxtailridge.configuration.follow.FollowerOutbox;
import org.foxtailridge.configuration.follow.LogAnswer;
import org.foxtailridge.configuration.follow.LogRead;
import org.foxtailridge.configuration.follow.LogRecord;
import org.foxtailridge.configuration.follow.Peers;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.configuration.ConfigurationMessage;

/** Followers of several data centres over a log, joined by messages with a delay and a loss. */
final class RelayFleet {
    private static final Duration TICK = Duration.ofMillis(100);
    private static final int HEADER_BYTES = 72;
    private static final int READ_BYTES = 300;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final UniformRandomProvider mRandom;
    private final RelayPolicy mPolicy;
    private final double mLossShare;
    private final Duration mNearDelay;
    private final Duration mFarDelay;
    private final int mDataCentres;
    private final List<ConfigurationFollower> mNodes = new ArrayList<>();
    private final List<LogRecord> mLog = new ArrayList<>();
    private final List<Runnable> mWaiting = new ArrayList<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>(Event.EARLIEST_FIRST);
    private final List<Integer> mNumbers = new ArrayList<>();
    private long mSequence;
    private long mBytes;
    private long mReads;

    RelayFleet(long seed, RelayPolicy policy, int dataCentres, int nodes, double lossShare) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mPolicy = policy;
        mLossShare = lossShare;
        mDataCentres = dataCentres;
        mNearDelay = Duration.ofMillis(1);
        mFarDelay = Duration.ofMillis(dataCentres > 3 ? 50 : 3);
        for (int number = 0; number < dataCentres * nodes; number++) {
            mNumbers.add(number);
            mNodes.add(
                    ConfigurationFollower.create(
                            policy.settings(),
                            mClock,
                            RandomSource.SPLIT_MIX_64.create(mRandom.nextLong()),
                            new Outbox(number)));
        }
        for (int number : mNumbers) {
            mNodes.get(number).onPeers(peersOf(number));
        }
    }

    long takeBytes() {
        long bytes = mBytes;
        mBytes = 0;
        return bytes;
    }

    long takeReads() {
        long reads = mReads;
        mReads = 0;
        return reads;
    }

    int size() {
        return mNodes.size();
    }

    void append(String payload) {
        mLog.add(new LogRecord(mLog.size(), payload));
        List<Runnable> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(Runnable::run);
    }

    ConfigurationState state() {
        return mNodes.get(0).state();
    }

    long lowestOffset() {
        return mNodes.stream().mapToLong(node -> node.state().offset()).min().orElseThrow();
    }

    /** Lets time pass until all nodes are at an offset; returns how long that took. */
    Duration runUntilAt(long offset, Duration atMost) {
        Instant start = mClock.instant();
        Instant end = start.plus(atMost);
        while (lowestOffset() < offset && mClock.instant().isBefore(end)) {
            run(TICK);
        }
        return Duration.between(start, mClock.instant());
    }

    void run(Duration time) {
        Instant end = mClock.instant().plus(time);
        while (mClock.instant().isBefore(end)) {
            Instant tickEnd = mClock.instant().plus(TICK);
            while (!mEvents.isEmpty() && !mEvents.peek().at().isAfter(tickEnd)) {
                Event event = mEvents.poll();
                mClock.advance(Duration.between(mClock.instant(), event.at()));
                event.action().run();
            }
            mClock.advance(Duration.between(mClock.instant(), tickEnd));
            mNodes.forEach(ConfigurationFollower::tick);
        }
    }

    private int dataCentreOf(int number) {
        return number % mDataCentres;
    }

    private Peers peersOf(int number) {
        List<NodeName> near = new ArrayList<>();
        List<NodeName> far = new ArrayList<>();
        for (int other : mNumbers) {
            if (other != number) {
                boolean same = dataCentreOf(other) == dataCentreOf(number);
                (same ? near : far).add(nameOf(other));
            }
        }
        return new Peers(near, far, mPolicy.readsLog(number / mDataCentres));
    }

    private static NodeName nameOf(int number) {
        return NodeName.of("node-" + number);
    }

    private static int numberOf(NodeName name) {
        return Integer.parseInt(name.value().substring("node-".length()));
    }

    private void after(Duration delay, Runnable action) {
        mEvents.add(new Event(mClock.instant().plus(delay), mSequence++, action));
    }

    private record Event(Instant at, long sequence, Runnable action) {
        private static final Comparator<Event> EARLIEST_FIRST =
                Comparator.comparing(Event::at).thenComparing(Event::sequence);
    }

    private final class Outbox implements FollowerOutbox {
        private final int mNumber;

        private Outbox(int number) {
            mNumber = number;
        }

        @Override
        public void read(LogRead read) {
            mReads++;
            mBytes += 2 * HEADER_BYTES + READ_BYTES;
            after(mFarDelay, () -> arrive(read, mClock.instant().plus(read.waitTime())));
        }

        private void arrive(LogRead read, Instant end) {
            boolean waits = read.from() >= mLog.size() && mClock.instant().isBefore(end);
            if (waits) {
                boolean[] answered = new boolean[1];
                Runnable once =
                        () -> {
                            if (!answered[0]) {
                                answered[0] = true;
                                answer(read);
                            }
                        };
                mWaiting.add(once);
                after(Duration.between(mClock.instant(), end), once);
            } else {
                answer(read);
            }
        }

        private void answer(LogRead read) {
            int from = (int) Math.min(read.from(), mLog.size());
            List<LogRecord> records = List.copyOf(mLog.subList(from, mLog.size()));
            records.forEach(record -> mBytes += record.payload().length());
            LogAnswer answer = new LogAnswer(0, mLog.size(), records);
            after(mFarDelay, () -> mNodes.get(mNumber).onLogAnswer(read.request(), answer));
        }

        @Override
        public void send(NodeName to, ConfigurationMessage message) {
            if (message.hasAdvertise() && !mPolicy.advertises()) {
                return;
            }
            mBytes += message.getSerializedSize() + HEADER_BYTES;
            if (mRandom.nextDouble() < mLossShare) {
                return;
            }
            int receiver = numberOf(to);
            boolean near = dataCentreOf(receiver) == dataCentreOf(mNumber);
            after(
                    near ? mNearDelay : mFarDelay,
                    () -> mNodes.get(receiver).onMessage(nameOf(mNumber), message));
        }

        @Override
        public void inForce(ConfigurationState before, ConfigurationState after) {}
    }
}
