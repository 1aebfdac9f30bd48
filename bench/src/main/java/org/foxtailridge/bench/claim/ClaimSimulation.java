package org.foxtailridge.bench.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.execution.claim.AppendResult;
import org.foxtailridge.execution.claim.CallOutcome;
import org.foxtailridge.execution.claim.ClaimCall;
import org.foxtailridge.execution.claim.ClaimDecision;
import org.foxtailridge.execution.claim.ClaimKeeper;
import org.foxtailridge.execution.claim.ClaimSettings;
import org.foxtailridge.execution.claim.LogRecord;

/** Nodes with keyed calls, each of its own key, over a log that answers in fixed times. */
final class ClaimSimulation {
    private static final long APPEND_MILLISECONDS = 6;
    private static final long READ_MILLISECONDS = 4;
    private static final long RUN_MILLISECONDS = 20_000;
    private static final int MILLISECONDS_PER_SECOND = 1_000;
    private static final int BODY_BYTES = 300;
    private static final int ANSWER_MILLISECONDS = 40;
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");

    private final UniformRandomProvider mRandom;
    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<ClaimKeeper> mKeepers = new ArrayList<>();
    private final List<LogRecord> mLog = new ArrayList<>();
    private final Map<Long, Long> mArrivals = new HashMap<>();
    private final PriorityQueue<Due> mDue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final Histogram mWaits = new Histogram(60_000, 3);
    private final int mCallsPerSecond;
    private long mOrder;
    private long mAppends;
    private long mRecords;
    private long mBytes;
    private long mRefused;
    private long mCalls;

    ClaimSimulation(int nodes, int callsPerSecond, long intervalMilliseconds, long seed) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mCallsPerSecond = callsPerSecond;
        for (int node = 0; node < nodes; node++) {
            ClaimSettings settings =
                    ClaimSettings.builder(NodeName.of("node-" + node), 1)
                            .appendIntervalMilliseconds(intervalMilliseconds)
                            .maximumKeys(1_000_000)
                            .build();
            mKeepers.add(ClaimKeeper.create(settings, mClock));
        }
    }

    ClaimRun run() {
        double perMillisecond = (double) mCallsPerSecond / MILLISECONDS_PER_SECOND;
        double due = 0;
        for (long now = 0; now < RUN_MILLISECONDS; now++) {
            while (!mDue.isEmpty() && mDue.peek().at() <= now) {
                mDue.poll().event().run();
            }
            due += perMillisecond * 2 * mRandom.nextDouble();
            for (; due >= 1; due--) {
                arrive(mKeepers.get(mRandom.nextInt(mKeepers.size())));
            }
            mKeepers.forEach(keeper -> carryOut(keeper, keeper.tick()));
            mClock.advance(Duration.ofMillis(1));
        }
        double seconds = (double) RUN_MILLISECONDS / MILLISECONDS_PER_SECOND;
        return new ClaimRun(
                mAppends / seconds,
                (double) mRecords / Math.max(1, mAppends),
                mBytes / seconds / MILLISECONDS_PER_SECOND,
                mWaits,
                mRefused);
    }

    private void arrive(ClaimKeeper keeper) {
        long id = ++mCalls;
        mArrivals.put(id, mClock.millis());
        String fingerprint = "0123456789abcdef0123456789abcdef";
        ClaimCall call = new ClaimCall(id, ACCOUNT, "key-" + id, fingerprint);
        carryOut(keeper, keeper.callArrived(call));
    }

    private void carryOut(ClaimKeeper keeper, List<ClaimDecision> decisions) {
        for (ClaimDecision decision : decisions) {
            if (decision instanceof ClaimDecision.Append append) {
                at(APPEND_MILLISECONDS / 2, () -> store(append.payloads()));
                at(
                        APPEND_MILLISECONDS,
                        () ->
                                carryOut(
                                        keeper,
                                        keeper.appendEnded(append.append(), AppendResult.STORED)));
            } else if (decision instanceof ClaimDecision.Dispatch dispatch) {
                mWaits.recordValue(mClock.millis() - mArrivals.remove(dispatch.call()));
                CallOutcome answer = new CallOutcome.Answered(200, List.of(), new byte[BODY_BYTES]);
                at(
                        ANSWER_MILLISECONDS,
                        () -> carryOut(keeper, keeper.dispatchEnded(dispatch.call(), answer)));
            } else {
                mRefused++;
            }
        }
    }

    private void store(List<String> payloads) {
        mAppends++;
        for (String payload : payloads) {
            mRecords++;
            mBytes += payload.length();
            mLog.add(new LogRecord(mLog.size(), mClock.millis(), payload));
        }
        long end = mLog.size();
        at(READ_MILLISECONDS, () -> mKeepers.forEach(keeper -> read(keeper, end)));
    }

    private void read(ClaimKeeper keeper, long end) {
        int from = (int) Math.min(keeper.nextOffset(), end);
        carryOut(keeper, keeper.recordsRead(List.copyOf(mLog.subList(from, (int) end)), end));
    }

    private void at(long delay, Runnable event) {
        mDue.add(new Due(mClock.millis() + delay, mOrder++, event));
    }

    private record Due(long at, long order, Runnable event) {}
}
