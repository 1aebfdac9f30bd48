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

/** Nodes with drifting clocks over a log that is late, loses answers, goes away and steps. */
final class LeaseRun {
    private static final List<String> DUTIES = List.of("d0", "d1");
    private static final List<String> NAMES = List.of("a", "b", "c");

    private final UniformRandomProvider mRandom;
    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final LeaseFactory mFactory;
    private final List<LeaseLogRecord> mLog = new ArrayList<>();
    private final List<Runnable> mInFlight = new ArrayList<>();
    private final List<Runnable> mWaitingReads = new ArrayList<>();
    private final Map<String, LeaseManager> mNodes = new TreeMap<>();
    private final Map<String, Integer> mStarts = new HashMap<>();
    private final Set<String> mPaused = new HashSet<>();
    private final Map<String, String> mActors = new HashMap<>();
    private final Map<String, Long> mHighest = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private long mLogStepMs;
    private long mFirstRetained;
    private boolean mUp = true;
    private boolean mFaults = true;
    private long mIncarnations = 1;

    LeaseRun(long seed, LeaseFactory factory) {
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
            mUp = !mUp;
        } else if (choice < 90) {
            mLogStepMs += mRandom.nextInt(40_000) - 20_000;
        } else if (choice < 92) {
            start(NAMES.get(mRandom.nextInt(NAMES.size())));
        } else if (choice < 94) {
            mFirstRetained = Math.max(mFirstRetained, mLog.size() - mRandom.nextInt(4));
        } else if (choice < 96) {
            mNodes.get(NAMES.get(mRandom.nextInt(NAMES.size()))).releaseAll();
        } else if (choice < 98) {
            NAMES.forEach(this::standFor);
        } else {
            advance(Duration.ofSeconds(13));
        }
        observe();
    }

    /** Ends all faults; every duty must come to have one holder. */
    void heal() {
        mFaults = false;
        mUp = true;
        mPaused.clear();
        NAMES.forEach(this::standFor);
        for (int round = 0; round < 500; round++) {
            advance(Duration.ofMillis(250));
            for (int delivered = 0; delivered < 30; delivered++) {
                deliverOne();
            }
            observe();
        }
        for (String duty : DUTIES) {
            if (mNodes.values().stream().noneMatch(node -> node.held(duty).isPresent())) {
                mViolations.add(duty + " has no holder after the faults");
            }
        }
    }

    private void observe() {
        for (String duty : DUTIES) {
            List<String> holders = new ArrayList<>();
            mNodes.forEach(
                    (name, node) -> {
                        Optional<HeldLease> held = node.held(duty);
                        if (held.isPresent()) {
                            holders.add(name);
                            noteActor(name, held.get());
                        }
                    });
            if (holders.size() > 1) {
                mViolations.add(duty + " is held by " + holders);
            }
        }
    }

    private void noteActor(String name, HeldLease held) {
        String process = name + mStarts.get(name);
        String lease = held.duty() + ":" + held.fencing();
        String actor = mActors.putIfAbsent(lease, process);
        if (actor != null && !actor.equals(process)) {
            mViolations.add(lease + " is used by " + actor + " and " + process);
        }
        long highest = mHighest.merge(held.duty(), held.fencing(), Math::max);
        if (held.fencing() < highest) {
            mViolations.add(lease + " is used after " + highest);
        }
    }

    private void start(String name) {
        mStarts.merge(name, 1, Integer::sum);
        double rate = 1 + (mRandom.nextDouble() - 0.5) / 100;
        Clock clock = new DriftingClock(mClock, rate);
        long incarnation = mIncarnations++;
        Outbox outbox = new Outbox(name, mStarts.get(name));
        mNodes.put(name, mFactory.create(NodeName.of(name), incarnation, clock, outbox));
        standFor(name);
    }

    private void standFor(String name) {
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
            int index = mFaults ? mRandom.nextInt(mInFlight.size()) : 0;
            mInFlight.remove(index).run();
        }
    }

    /** Creates the leases of one process. */
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
            int fate = mFaults ? mRandom.nextInt(10) : 9;
            if (!mUp || fate == 0) {
                mInFlight.add(() -> toNode(node -> node.onAppendFailed(request)));
                return;
            }
            mInFlight.add(
                    () -> {
                        long offset = mLog.size();
                        long timeMs = mClock.millis() + mLogStepMs;
                        mLog.add(new LeaseLogRecord(offset, timeMs, payload));
                        if (fate == 1) {
                            mInFlight.add(() -> toNode(node -> node.onAppendFailed(request)));
                        } else if (fate > 2) {
                            mInFlight.add(() -> toNode(node -> node.onAppended(request, offset)));
                        }
                    });
        }

        @Override
        public void read(long request, long from, int limit, Duration waitTime) {
            if (!mUp) {
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
            if (mStarts.get(mName) != mStart) {
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
        private final ManualClock mTrue;
        private final Instant mOrigin;
        private final double mRate;

        private DriftingClock(ManualClock trueClock, double rate) {
            mTrue = trueClock;
            mOrigin = trueClock.instant();
            mRate = rate;
        }

        @Override
        public Instant instant() {
            Duration passed = Duration.between(mOrigin, mTrue.instant());
            return mOrigin.plusMillis(Math.round(passed.toMillis() * mRate));
        }

        @Override
        public ZoneId getZone() {
            return mTrue.getZone();
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }
}
