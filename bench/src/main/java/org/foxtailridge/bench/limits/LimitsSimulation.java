package org.foxtailridge.bench.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.protocol.limits.LimitsMessage;

/** Drives the limiters of all nodes with one demand, in steps of a millisecond. */
final class LimitsSimulation {
    private static final int DATA_CENTRES = 3;
    private static final long BETWEEN_DATA_CENTRES_MILLISECONDS = 2;
    private static final long WITHIN_DATA_CENTRE_MILLISECONDS = 1;
    private static final int ENVELOPE_BYTES = 8;
    private static final long REPLACE_MILLISECONDS = 60_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final DemandScenario mScenario;
    private final LimiterPolicy mPolicy;
    private final List<LimitedRequest> mRequests;
    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<SimulatedNode> mNodes = new ArrayList<>();
    private final PriorityQueue<Due> mDue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final SimulatedLeases mLeases = new SimulatedLeases(this::reachesPlatform);
    private final List<WindowCheck> mWindows = new ArrayList<>();
    private final Map<Integer, long[]> mTraffic = new HashMap<>();
    private final boolean[] mAdmitted;
    private long mOrder;
    private long mNames;

    LimitsSimulation(DemandScenario scenario, LimiterPolicy policy, long seed) {
        mScenario = scenario;
        mPolicy = policy;
        mRequests = new LimitsDemand(scenario, seed).requests();
        mAdmitted = new boolean[mRequests.size()];
        scenario.accounts().forEach(account -> mWindows.add(new WindowCheck(account.limit())));
        for (int position = 0; position < scenario.nodes(); position++) {
            mTraffic.put(position, new long[2]);
            mNodes.add(start(position));
        }
    }

    LimitsRun run() {
        int next = 0;
        for (long now = 0; now < DemandScenario.END_MILLISECONDS; now++) {
            deliverDue(now);
            if (now % TokenLimiter.TICK_MILLISECONDS == 0) {
                fail(now);
                mScenario
                        .accounts()
                        .forEach(account -> mLeases.advance(account.name(), mNodes, now()));
                mNodes.stream()
                        .filter(node -> !node.isDead())
                        .forEach(node -> node.limiter().tick());
            }
            while (next < mRequests.size() && mRequests.get(next).atMilliseconds() <= now) {
                arrive(next);
                next++;
            }
            mClock.advance(Duration.ofMillis(1));
        }
        return result();
    }

    private SimulatedNode start(int position) {
        NodeName name = NodeName.of("node-" + position + "-" + mNames++);
        SimulatedNode node = new SimulatedNode(name, position, position % DATA_CENTRES);
        TokenLimiter limiter =
                mPolicy.limiter(name, mNames, mClock, (to, message) -> send(node, to, message));
        node.limiter(limiter);
        mScenario
                .accounts()
                .forEach(account -> limiter.limitChanged(account.name(), account.limit()));
        mLeases.tell(node);
        return node;
    }

    private void fail(long now) {
        boolean due = now > 0 && now % REPLACE_MILLISECONDS == REPLACE_MILLISECONDS / 2;
        int position = (int) (now / REPLACE_MILLISECONDS * 4 % mScenario.nodes());
        if (now == CutTime.UNTIL_MILLISECONDS) {
            mNodes.forEach(mLeases::tell);
        }
        if (due && mScenario.fault() == DemandScenario.Fault.CRASH_EVERY_MINUTE) {
            mNodes.get(position).die();
            mNodes.set(position, start(position));
        }
        if (due && mScenario.fault() == DemandScenario.Fault.PLANNED_EVERY_MINUTE) {
            SimulatedNode leaving = mNodes.get(position);
            mLeases.release(leaving, now);
            mDue.add(new Due(now + 2_000, mOrder++, leaving::die));
            mNodes.set(position, start(position));
            mDue.add(new Due(now + 300, mOrder++, () -> tellLeaving(leaving)));
            mDue.add(new Due(now + 350, mOrder++, () -> tellLeaving(leaving)));
        }
    }

    private void tellLeaving(SimulatedNode leaving) {
        mLeases.tell(leaving);
        leaving.limiter().tick();
    }

    private boolean isCut(int dataCentre) {
        return mScenario.fault() == DemandScenario.Fault.DATA_CENTRE_CUT
                && dataCentre == 0
                && now() >= CutTime.FROM_MILLISECONDS
                && now() < CutTime.UNTIL_MILLISECONDS;
    }

    private boolean reachesPlatform(SimulatedNode node) {
        return !node.isDead() && mNodes.contains(node) && !isCut(node.dataCentre());
    }

    private void send(SimulatedNode sender, NodeName receiver, LimitsMessage message) {
        if (sender.isDead()) {
            return;
        }
        for (SimulatedNode node : mNodes) {
            boolean same = node.dataCentre() == sender.dataCentre();
            boolean cut = !same && (isCut(node.dataCentre()) || isCut(sender.dataCentre()));
            if (node.name().equals(receiver) && !cut) {
                long delay =
                        same ? WITHIN_DATA_CENTRE_MILLISECONDS : BETWEEN_DATA_CENTRES_MILLISECONDS;
                count(sender, node, message);
                mDue.add(
                        new Due(
                                now() + delay,
                                mOrder++,
                                () -> deliver(node, sender.name(), message)));
            }
        }
    }

    private void deliver(SimulatedNode node, NodeName sender, LimitsMessage message) {
        if (!node.isDead()) {
            node.limiter().receive(sender, message);
        }
    }

    private void count(SimulatedNode sender, SimulatedNode receiver, LimitsMessage message) {
        if (now() < DemandScenario.WARM_UP_MILLISECONDS) {
            return;
        }
        for (SimulatedNode node : List.of(sender, receiver)) {
            long[] traffic = mTraffic.get(node.position());
            traffic[0]++;
            traffic[1] += message.getSerializedSize() + ENVELOPE_BYTES;
        }
    }

    private void deliverDue(long now) {
        while (!mDue.isEmpty() && mDue.peek().at() <= now) {
            mDue.poll().event().run();
        }
    }

    private void arrive(int index) {
        LimitedRequest request = mRequests.get(index);
        LimitedAccount account = mScenario.accounts().get(request.account());
        SimulatedNode node = mNodes.get(request.node());
        node.limiter()
                .reserve(
                        account.name(),
                        request.reservedTokens(),
                        admission -> decided(index, node, admission));
    }

    private void decided(int index, SimulatedNode node, Admission admission) {
        if (admission instanceof Admission.Granted granted) {
            LimitedRequest request = mRequests.get(index);
            mAdmitted[index] = true;
            mWindows.get(request.account()).use(request.usedTokens(), now());
            mDue.add(
                    new Due(
                            now() + request.durationMilliseconds(),
                            mOrder++,
                            () ->
                                    node.limiter()
                                            .settle(granted.reservation(), request.usedTokens())));
        }
    }

    private LimitsRun result() {
        List<Boolean> admitted = new ArrayList<>();
        for (boolean one : mAdmitted) {
            admitted.add(one);
        }
        double seconds =
                (DemandScenario.END_MILLISECONDS - DemandScenario.WARM_UP_MILLISECONDS)
                        / MILLISECONDS_PER_SECOND;
        double messages = mTraffic.values().stream().mapToLong(one -> one[0]).average().orElse(0);
        double bytes = mTraffic.values().stream().mapToLong(one -> one[1]).average().orElse(0);
        long most = mTraffic.values().stream().mapToLong(one -> one[1]).max().orElse(0);
        long over = mWindows.stream().mapToLong(WindowCheck::overTokens).max().orElse(0);
        return new LimitsRun(admitted, over, messages / seconds, bytes / seconds, most / seconds);
    }

    private long now() {
        return mClock.millis();
    }

    /** Time during which a data centre is cut off. */
    static final class CutTime {
        /** Start of the cut. */
        static final long FROM_MILLISECONDS = 120_000;

        /** End of the cut. */
        static final long UNTIL_MILLISECONDS = 180_000;

        private CutTime() {}
    }

    private record Due(long at, long order, Runnable event) {}
}
