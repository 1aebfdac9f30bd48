package org.foxtailridge.endtoend.harness;

import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailridge.core.time.MonotonicClock;

/**
 * Callers that open one stream after the other while workers write faulty answers, workers are
 * killed, and nodes are killed, frozen and stopped, all drawn from a seed.
 *
 * <pre>{@code
 * StreamSoak soak = StreamSoak.builder(7).faults(faults).framings(framings).play(fleet);
 * soak.violations();
 * }</pre>
 */
public final class StreamSoak {
    private static final int WORKERS = 4;
    private static final int CALLERS = 12;
    private static final int MOST_RETURNS = 6;
    private static final double SOUND_SHARE = 0.6;
    // A killed worker takes its other streams along.
    private static final double KILL_SHARE = 0.03;
    private static final double SLOW_SHARE = 0.1;
    private static final double OLD_SHARE = 0.2;
    private static final int LONGEST_PAUSE_MILLISECONDS = 60;
    private static final int SLOW_MILLISECONDS = 400;
    private static final int GAP_MILLISECONDS = 2_000;
    private static final int SHORTEST_CALM_MILLISECONDS = 1_000;
    private static final int LONGEST_CALM_MILLISECONDS = 6_000;
    private static final int LONGEST_FREEZE_MILLISECONDS = 3_000;
    private static final int REPLACE_MILLISECONDS = 200;
    private static final int REFUSED_MILLISECONDS = 50;

    private final Builder mSettings;
    private final RawStreamFleet mFleet;
    private final List<StreamFault> mFaults;
    private final List<StreamFault> mKills;
    private final List<AnswerFraming> mFramings;
    private final Clock mClock = MonotonicClock.start();
    private final long mEnd;
    private final ConcurrentLinkedQueue<String> mViolations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mCompleted = new AtomicInteger();
    private final AtomicInteger mCut = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mNodesDisturbed = new AtomicInteger();
    private final AtomicInteger mWorkersReplaced = new AtomicInteger();

    private StreamSoak(Builder settings, RawStreamFleet fleet) {
        mSettings = settings;
        mFleet = fleet;
        mFaults = settings.mFaults.stream().filter(fault -> !fault.kills()).toList();
        mKills = settings.mFaults.stream().filter(StreamFault::kills).toList();
        mFramings = List.copyOf(settings.mFramings);
        mEnd = mClock.millis() + settings.mSeconds * 1_000L;
    }

    /** Returns a soak of 30 s without faults. */
    public static Builder builder(long seed) {
        return new Builder(seed);
    }

    /** Returns what broke rule ORDER. */
    public List<String> violations() {
        return List.copyOf(mViolations);
    }

    /** Returns the number of answers that callers received as complete. */
    public int completed() {
        return mCompleted.get();
    }

    /** Returns the seed and what was played. */
    public String summary() {
        return "seed %d: %d complete, %d cut, %d refused, %d nodes disturbed, %d workers replaced"
                .formatted(
                        mSettings.mSeed,
                        mCompleted.get(),
                        mCut.get(),
                        mRefused.get(),
                        mNodesDisturbed.get(),
                        mWorkersReplaced.get());
    }

    private void run() {
        mFleet.prepare(WORKERS);
        mFleet.workers().setScript(this::answer);
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Random random = random("caller " + number);
            threads.add(new Thread(() -> callUntilTheEnd(random)));
        }
        for (int number = 0; number < mFleet.nodes(); number++) {
            int node = number;
            threads.add(new Thread(() -> disturbUntilTheEnd(node, random("node " + node))));
        }
        threads.add(new Thread(this::replaceWorkersUntilTheEnd));
        threads.forEach(Thread::start);
        threads.forEach(StreamSoak::join);
        System.err.println("soak " + summary() + ", " + mViolations.size() + " violations");
    }

    private Random random(String part) {
        return new Random(31 * mSettings.mSeed + part.hashCode());
    }

    private boolean isOver() {
        return mClock.millis() >= mEnd;
    }

    private void answer(RawAnswer answer) throws IOException {
        Random random = random(answer.body() + ", attempt " + answer.attempt());
        StreamFault fault = StreamFault.NONE;
        double drawn = random.nextDouble();
        if (drawn < KILL_SHARE) {
            fault = one(mKills, random);
        } else if (drawn > SOUND_SHARE) {
            fault = one(mFaults, random);
        }
        fault.play(answer, one(mFramings, random), random.nextInt(LONGEST_PAUSE_MILLISECONDS));
    }

    private void callUntilTheEnd(Random random) {
        while (!isOver()) {
            boolean resumable = random.nextBoolean();
            String body = mFleet.newBody();
            int received = 0;
            boolean complete = false;
            int calls = resumable ? MOST_RETURNS : 1;
            for (int call = 0; call < calls && !complete && received >= 0; call++) {
                ReceivedStream stream = call(random, body, resumable, received);
                complete = stream.complete() && stream.status() == 200;
                received = check(stream, body, received);
            }
        }
    }

    private ReceivedStream call(Random random, String body, boolean resumable, int received) {
        String target = resumable ? RawStreamFleet.RESUMABLE : RawStreamFleet.NOT_RESUMABLE;
        PlatformNodeProcess node = mFleet.node(random.nextInt(mFleet.nodes()));
        RawCaller caller =
                RawCaller.of(node, target, body)
                        .resumeAfter(received)
                        .giveUpAfter(GAP_MILLISECONDS);
        if (random.nextDouble() < SLOW_SHARE) {
            caller.slow(random.nextInt(SLOW_MILLISECONDS));
        }
        if (mSettings.mOldCallers && random.nextDouble() < OLD_SHARE) {
            caller.oldVersion();
        }
        return caller.call().join();
    }

    /** Returns the number of the last event that the caller has; -1 after a violation. */
    private int check(ReceivedStream stream, String body, int received) {
        if (stream.status() != 200) {
            mRefused.incrementAndGet();
            ScriptedStream.pause(REFUSED_MILLISECONDS);
            return received;
        }
        (stream.complete() ? mCompleted : mCut).incrementAndGet();
        List<String> events = ScriptedStream.events(body, StreamFault.LAST, 0);
        try {
            RawStreamFleet.assertOrder(stream, events.subList(received, StreamFault.LAST));
        } catch (AssertionError violation) {
            mViolations.add(body + " behind " + received + ": " + stream);
            return -1;
        }
        return received + stream.events().size();
    }

    private void disturbUntilTheEnd(int index, Random random) {
        while (!isOver()) {
            int calm = LONGEST_CALM_MILLISECONDS - SHORTEST_CALM_MILLISECONDS;
            ScriptedStream.pause(SHORTEST_CALM_MILLISECONDS + random.nextInt(calm));
            PlatformNodeProcess node = mFleet.node(index);
            mNodesDisturbed.incrementAndGet();
            switch (random.nextInt(3)) {
                case 0 -> {
                    node.freeze();
                    ScriptedStream.pause(random.nextInt(LONGEST_FREEZE_MILLISECONDS));
                    node.thaw();
                }
                case 1 -> {
                    node.kill();
                    mFleet.restart(index);
                }
                default -> {
                    node.terminate();
                    node.waitForExit();
                    mFleet.restart(index);
                }
            }
        }
    }

    private void replaceWorkersUntilTheEnd() {
        while (!isOver()) {
            ScriptedStream.pause(REPLACE_MILLISECONDS);
            mWorkersReplaced.addAndGet(mFleet.workers().replaceEnded(WORKERS).size());
        }
    }

    private static <T> T one(List<T> list, Random random) {
        return list.get(random.nextInt(list.size()));
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /** Builds a {@link StreamSoak}. */
    public static final class Builder {
        private final long mSeed;
        private int mSeconds = 30;
        private Set<StreamFault> mFaults = Set.of(StreamFault.NONE);
        private Set<AnswerFraming> mFramings = Set.of(AnswerFraming.CHUNKED);
        private boolean mOldCallers;

        private Builder(long seed) {
            mSeed = seed;
        }

        /** Sets how long callers open streams. */
        public Builder seconds(int seconds) {
            mSeconds = seconds;
            return this;
        }

        /** Sets what workers do wrong. */
        public Builder faults(Set<StreamFault> faults) {
            mFaults = faults;
            return this;
        }

        /** Sets how workers frame their answers. */
        public Builder framings(Set<AnswerFraming> framings) {
            mFramings = framings;
            return this;
        }

        /** Lets some callers speak HTTP/1.0. */
        public Builder oldCallers() {
            mOldCallers = true;
            return this;
        }

        /** Plays it to its end. */
        public StreamSoak play(RawStreamFleet fleet) {
            StreamSoak soak = new StreamSoak(this, fleet);
            soak.run();
            return soak;
        }
    }
}
