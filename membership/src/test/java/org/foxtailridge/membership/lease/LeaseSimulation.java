package org.foxtailridge.membership.lease;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;

/**
 * Deterministic simulation of nodes with drifting clocks that pause and restart, over a log whose
 * answers are late or lost, which is unavailable at times and whose clock steps.
 */
final class LeaseSimulation {
    private static final List<String> DUTIES = List.of("d0", "d1");
    private static final List<String> NAMES = List.of("a", "b", "c");

    private final UniformRandomProvider mRandom;
    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final LeaseFactory mFactory;
    private final List<LeaseLogRecord> mLog = new ArrayList<>();
    private final List<Runnable> mInFlight = new ArrayList<>();
    private final List<Runnable> mWaitingReads = new ArrayList<>();
    private final Map<String, LeaseManager> mNodes = new TreeMap<>();
    private final Map<String, Integer> mStartCounts = new HashMap<>();
    private final Set<String> mPaused = new HashSet<>();
    private final Map<String, String> mHolders = new HashMap<>();
    private final Map<String, Long> mHighestFencing = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private long mLogClockOffsetMs;
    private long mFirstRetained;
    private boolean mLogAvailable = true;
    private boolean mFaultsEnabled = true;
    private long mIncarnations = 1;

    LeaseSimulation(long seed, LeaseFactory factory) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mFactory = factory;
        NAMES.forEach(this::start);
    }

    List<String> violations() {
        return mViolations;
    }

    void step() {
        int choice = mRandom.nextInt(100);
        if (choice < 45) {
            deliverOne();
        } else if (choice < 80) {
            advance(Duration.ofMillis(100 + mRandom.nextInt(900)));
        } else if (choice < 85) {
            toggle(mPaused);
        } else if (choice < 88) {
            mLogAvailable = !mLogAvailable;
        } else if (choice < 90) {
            mLogClockOffsetMs += mRandom.nextInt(40_000) - 20_000;
        } else if (choice < 92) {
            start(NAMES.get(mRandom.nextInt(NAMES.size())));
        } else if (choice < 94) {
            mFirstRetained = Math.max(mFirstRetained, mLog.size() - mRandom.nextInt(4));
        } else if (choice < 96) {
            mNodes.get(NAMES.get(mRandom.nextInt(NAMES.size()))).releaseAll();
        } else if (choice < 98) {
            NAMES.forEach(this::setCandidacies);
        } else {
            advance(Duration.ofSeconds(13));
        }
        checkInvariants();
    }

    /** Ends all faults; every duty must then get a holder. */
    void heal() {
        mFaultsEnabled = false;
        mLogAvailable = true;
        mPaused.clear();
        NAMES.forEach(this::setCandidacies);
        for (int round = 0; round < 500; round++) {
            advance(Duration.ofMillis(250));
            for (int delivered = 0; delivered < 30; delivered++) {
                deliverOne();
            }
            checkInvariants();
        }
        for (String duty : DUTIES) {
            if (mNodes.values().stream().noneMatch(node -> node.held(duty).isPresent())) {
                mViolations.add(duty + " has no holder after the faults");
            }
        }
    }

    private void checkInvariants() {
        for (String duty : DUTIES) {
            List<String> holders = new ArrayList<>();
            mNodes.forEach(
                    (name, node) -> {
                        Optional<HeldLease> held = node.held(duty);
                        if (held.isPresent()) {
                            holders.add(name);
                            recordHolder(name, held.get());
                        }
                    });
            if (holders.size() > 1) {
                mViolations.add(duty + " is held by " + holders);
            }
        }
    }

    private void recordHolder(String name, HeldLease held) {
        String process = name + mStartCounts.get(name);
        String lease = held.duty() + ":" + held.fencing();
        String holder = mHolders.putIfAbsent(lease, process);
        if (holder != null && !holder.equals(process)) {
            mViolations.add(lease + " is used by " + holder + " and " + process);
        }
        long highest = mHighestFencing.merge(held.duty(), held.fencing(), Math::max);
        if (held.fencing() < highest) {
            mViolations.add(lease + " is used after " + highest);
        }
    }

    private void start(String name) {
        mStartCounts.merge(name, 1, Integer::sum);
        double rate = 1 + (mRandom.nextDouble() - 0.5) / 100;
        Clock clock = new DriftingClock(mClock, rate);
        long incarnation = mIncarnations++;
        Outbox outbox = new Outbox(name, mStartCounts.get(name));
        mNodes.put(name, mFactory.create(NodeName.of(name), incarnation, clock, outbox));
        setCandidacies(name);
    }

    private void setCandidacies(String name) {
        int rank = NAMES.indexOf(name);
        mNodes.get(name)
                .setCandidacies(
                        List.of(
                                new Candidacy("d0", rank),
                                new Candidacy("d1", NAMES.size() - 1 - rank)));
    }

    private void toggle(Set<String> paused) {
        String name = NAMES.get(mRandom.nextInt(NAMES.size()));
        if (!paused.remove(name)) {
            paused.add(name);
        }
    }

    private void advance(Duration time) {
        mClock.advance(time);
        List<Runnable> reads = List.copyOf(mWaitingReads);
        mWaitingReads.clear();
        mInFlight.addAll(reads);
        for (String name : NAMES) {
            if (!mPaused.contains(name)) {
                mNodes.get(name).tick();
            }
        }
    }

    private void deliverOne() {
        if (!mInFlight.isEmpty()) {
            int index = mFaultsEnabled ? mRandom.nextInt(mInFlight.size()) : 0;
            mInFlight.remove(index).run();
        }
    }

    /** Creates the lease manager of one process. */
    interface LeaseFactory {
        LeaseManager create(NodeName self, long incarnation, Clock clock, LeaseOutbox outbox);
    }

    private final class Outbox implements LeaseOutbox {
        private final String mName;
        private final int mStart;

        private Outbox(String name, int start) {
            mName = name;
            mStart = start;
        }

        @Override
        public void append(long request, String payload) {
            int outcome = mFaultsEnabled ? mRandom.nextInt(10) : 9;
            if (!mLogAvailable || outcome == 0) {
                mInFlight.add(() -> toNode(node -> node.onAppendFailed(request)));
                return;
            }
            mInFlight.add(
                    () -> {
                        long offset = mLog.size();
                        long timeMs = mClock.millis() + mLogClockOffsetMs;
                        mLog.add(new LeaseLogRecord(offset, timeMs, payload));
                        if (outcome == 1) {
                            mInFlight.add(() -> toNode(node -> node.onAppendFailed(request)));
                        } else if (outcome > 2) {
                            mInFlight.add(() -> toNode(node -> node.onAppended(request, offset)));
                        }
                    });
        }

        @Override
        public void read(long request, long from, int limit, Duration waitTime) {
            if (!mLogAvailable) {
                mInFlight.add(() -> toNode(node -> node.onReadFailed(request)));
            } else if (!waitTime.isZero() && from >= mLog.size()) {
                mWaitingReads.add(() -> answer(request, from, limit));
            } else {
                mInFlight.add(() -> answer(request, from, limit));
            }
        }

        private void answer(long request, long from, int limit) {
            int start = (int) Math.min(Math.max(from, mFirstRetained), mLog.size());
            int end = Math.min(mLog.size(), start + limit);
            LeaseLogAnswer answer =
                    new LeaseLogAnswer(
                            mFirstRetained, mLog.size(), List.copyOf(mLog.subList(start, end)));
            toNode(node -> node.onRead(request, answer));
        }

        private void toNode(Consumer<LeaseManager> event) {
            if (mStartCounts.get(mName) != mStart) {
                return;
            }
            if (mPaused.contains(mName)) {
                mInFlight.add(() -> toNode(event));
                return;
            }
            event.accept(mNodes.get(mName));
        }
    }

    private static final class DriftingClock extends Clock {
        private final ManualClock mReference;
        private final Instant mOrigin;
        private final double mRate;

        private DriftingClock(ManualClock referenceClock, double rate) {
            mReference = referenceClock;
            mOrigin = referenceClock.instant();
            mRate = rate;
        }

        @Override
        public Instant instant() {
            Duration passed = Duration.between(mOrigin, mReference.instant());
            return mOrigin.plusMillis(Math.round(passed.toMillis() * mRate));
        }

        @Override
        public ZoneId getZone() {
            return mReference.getZone();
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }
}
