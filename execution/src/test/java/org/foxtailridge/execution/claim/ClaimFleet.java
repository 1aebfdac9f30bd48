package org.foxtailridge.execution.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;

/** Nodes that share a log under random faults, observed by {@link NaiveClaims}. */
final class ClaimFleet {
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final int NODES = 3;
    private static final int KEYS = 5;

    private final UniformRandomProvider mRandom;
    private final ClaimRules mRules;
    private final ManualClock mClock = ManualClock.atEpoch();
    private final FakeLog mLog = new FakeLog();
    private final NaiveClaims mNaive = new NaiveClaims();
    private final List<Node> mNodes = new ArrayList<>();
    private final PriorityQueue<Due> mDue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final int mFaultsIn;
    private long mOrder;
    private long mIncarnations;
    private long mCalls;
    private long mLogDownUntil;
    private boolean mHealed;

    ClaimFleet(long seed, ClaimRules rules) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mRules = rules;
        mFaultsIn = mRandom.nextBoolean() ? 20 : 80;
        for (int node = 0; node < NODES; node++) {
            mNodes.add(new Node(node));
        }
    }

    /** Runs steps of a few milliseconds; stops at the first broken promise. */
    void run(int steps) {
        for (int step = 0; step < steps && mNaive.failures().isEmpty(); step++) {
            advance(1 + mRandom.nextInt(60));
            fault();
            for (int call = mRandom.nextInt(3); call > 0; call--) {
                call();
            }
        }
    }

    /** Heals everything and returns how a last call with a new key was decided. */
    boolean servesNewKeyAfterHealing() {
        mHealed = true;
        mLogDownUntil = 0;
        mNodes.forEach(node -> node.mPausedUntil = 0);
        for (int step = 0; step < 400; step++) {
            advance(25);
        }
        Node node = mNodes.get(0);
        long before = mNaive.dispatches();
        arrive(node, "new key", "fingerprint-0");
        for (int step = 0; step < 80; step++) {
            advance(25);
        }
        return mNaive.dispatches() == before + 1;
    }

    NaiveClaims naive() {
        return mNaive;
    }

    /** Lets each node read to the end of the log and returns its table. */
    List<List<String>> tables() {
        mNodes.forEach(Node::readToEnd);
        return mNodes.stream().map(node -> statesOf(node.mKeeper.table())).toList();
    }

    /** Returns the table of a reader that reads all records one after the other. */
    List<String> foldedAnew() {
        ClaimSettings settings = ClaimSettings.builder(NodeName.of("reader"), 1).build();
        ClaimTable table = new ClaimTable(settings, new ClaimRules());
        for (LogRecord record : mLog.read(0, Integer.MAX_VALUE)) {
            table.apply(ClaimRecords.read(record), record, 0);
        }
        return statesOf(table);
    }

    private static List<String> statesOf(ClaimTable table) {
        return table.snapshot().entrySet().stream()
                .map(entry -> entry.getKey() + entry.getValue().claim() + entry.getValue().state())
                .sorted()
                .toList();
    }

    private void advance(long milliseconds) {
        mClock.advance(Duration.ofMillis(milliseconds));
        while (!mDue.isEmpty() && mDue.peek().at() <= now()) {
            mDue.poll().event().run();
        }
        for (Node node : mNodes) {
            if (now() >= node.mPausedUntil) {
                node.step();
            }
        }
    }

    private void fault() {
        Node node = mNodes.get(mRandom.nextInt(NODES));
        switch (mRandom.nextInt(mFaultsIn)) {
            case 0 -> node.mPausedUntil = now() + mRandom.nextInt(1_500);
            case 1 -> node.restart();
            case 2 -> mLogDownUntil = now() + mRandom.nextInt(2_000);
            default -> {
                // Nothing fails in this step.
            }
        }
    }

    private void call() {
        String key = "key-" + mRandom.nextInt(KEYS) + "-" + now() / 3_000;
        String fingerprint = "fingerprint-" + (mRandom.nextInt(12) == 0 ? 1 : 0);
        arrive(mNodes.get(mRandom.nextInt(NODES)), key, fingerprint);
        if (mRandom.nextInt(3) == 0) {
            arrive(mNodes.get(mRandom.nextInt(NODES)), key, fingerprint);
        }
    }

    private void arrive(Node node, String key, String fingerprint) {
        ClaimCall call = new ClaimCall(++mCalls, ACCOUNT, key, fingerprint);
        mNaive.called(call);
        node.handle(() -> node.mKeeper.callArrived(call));
    }

    private void at(long time, Runnable event) {
        mDue.add(new Due(time, mOrder++, event));
    }

    private long now() {
        return mClock.millis();
    }

    private record Due(long at, long order, Runnable event) {}

    /** Produces decisions. */
    private interface Event {
        List<ClaimDecision> happen();
    }

    /** A node, which keeps its name over restarts. */
    private final class Node {
        private final NodeName mName;
        private final List<Event> mInbox = new ArrayList<>();
        private ClaimKeeper mKeeper;
        private long mPausedUntil;
        private long mLife;

        private Node(int number) {
            mName = NodeName.of("node-" + number);
            restart();
        }

        private void restart() {
            mLife++;
            mInbox.clear();
            ClaimSettings settings =
                    ClaimSettings.builder(mName, ++mIncarnations)
                            .validityMilliseconds(500)
                            .waitMilliseconds(1_000)
                            .settleMilliseconds(4_000)
                            .windowMilliseconds(3_600_000)
                            .maximumCalls(40)
                            .build();
            mKeeper = new ClaimKeeper(settings, mRules, mClock);
        }

        private void handle(Event event) {
            mInbox.add(event);
            if (now() >= mPausedUntil) {
                runInbox();
            }
        }

        private void step() {
            runInbox();
            if (mRandom.nextInt(4) > 0 && now() >= mLogDownUntil) {
                List<LogRecord> records = mLog.read(mKeeper.nextOffset(), 1 + mRandom.nextInt(30));
                long next = mKeeper.nextOffset() + records.size();
                handle(() -> mKeeper.recordsRead(records, next));
            }
            handle(() -> mKeeper.tick());
        }

        private void readToEnd() {
            List<LogRecord> records = mLog.read(mKeeper.nextOffset(), Integer.MAX_VALUE);
            mKeeper.recordsRead(records, mKeeper.nextOffset() + records.size());
        }

        private void runInbox() {
            while (!mInbox.isEmpty()) {
                carryOut(mInbox.remove(0).happen());
            }
        }

        private void carryOut(List<ClaimDecision> decisions) {
            for (ClaimDecision decision : decisions) {
                if (!mHealed && mRandom.nextInt(3_000) == 0) {
                    restart();
                    return;
                }
                carryOut(decision);
            }
        }

        private void carryOut(ClaimDecision decision) {
            if (decision instanceof ClaimDecision.Append append) {
                append(append);
            } else if (decision instanceof ClaimDecision.Dispatch dispatch) {
                dispatch(dispatch.call());
            } else if (decision instanceof ClaimDecision.AnswerWith answer) {
                mNaive.answered(answer.call(), answer.answer());
            } else if (decision instanceof ClaimDecision.Refuse refusal) {
                mNaive.refused(refusal.call(), refusal.reason().kind());
            }
        }

        private void append(ClaimDecision.Append append) {
            long sent = now() + mRandom.nextInt(20);
            boolean late = !mHealed && mRandom.nextInt(12) == 0;
            long applied = late ? sent + mRandom.nextInt(3_000) : sent;
            AppendResult result = resultOf(now() < mLogDownUntil);
            if (result != AppendResult.REFUSED) {
                append.payloads().forEach(payload -> mNaive.appended(recordOf(payload)));
            }
            boolean stored =
                    result == AppendResult.STORED
                            || result == AppendResult.LOST && mRandom.nextBoolean();
            if (stored) {
                at(applied, () -> mLog.append(append.payloads(), now()));
            }
            long answered = result == AppendResult.STORED ? applied : sent + 30;
            later(answered, () -> mKeeper.appendEnded(append.append(), result));
        }

        private ClaimRecord recordOf(String payload) {
            return ClaimRecords.read(new LogRecord(0, 0, payload));
        }

        private AppendResult resultOf(boolean down) {
            int kind = mHealed ? 2 : mRandom.nextInt(down ? 2 : 12);
            return kind == 0
                    ? AppendResult.LOST
                    : kind == 1 ? AppendResult.REFUSED : AppendResult.STORED;
        }

        private void dispatch(long call) {
            int kind = mRandom.nextInt(8);
            byte[] body = mNaive.dispatched(call, kind != 0);
            CallOutcome outcome =
                    kind == 0
                            ? new CallOutcome.NotStarted()
                            : kind == 1
                                    ? new CallOutcome.Unknown()
                                    : new CallOutcome.Answered(200, List.of(), body);
            long ends = now() + mRandom.nextInt(400);
            later(
                    ends,
                    () -> {
                        if (kind == 0) {
                            mNaive.notStarted(call);
                        }
                        return mKeeper.dispatchEnded(call, outcome);
                    });
        }

        private void later(long time, Event event) {
            long life = mLife;
            at(
                    time,
                    () -> {
                        if (life == mLife) {
                            handle(event);
                        }
                    });
        }
    }
}
