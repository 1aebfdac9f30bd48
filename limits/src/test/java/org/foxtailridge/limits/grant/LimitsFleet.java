package org.foxtailridge.limits.grant;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimitTolerance;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Deterministic simulation of nodes in three data centres that limit one client account. Faults
 * from a seed lose, delay and duplicate messages, pause and replace processes, cut off data centres
 * and move the lease of the home node. Every used token is checked against {@link ReferenceBucket}.
 */
final class LimitsFleet {
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final List<TokenLimit> LIMITS =
            List.of(
                    TokenLimit.of(2_000, 1_000),
                    TokenLimit.of(400, 2_000),
                    TokenLimit.of(5_000, 600));
    private static final int[] CALL_SIZES_TOKENS = {10, 80, 80, 600};
    // A step draws from this many choices, ten of which are faults.
    private static final int[] FAULT_CHOICES = {30, 90, 5_000};
    private static final int[] LOST_MESSAGES_PERCENT = {0, 4, 20};
    private static final int DATA_CENTRES = 3;
    private static final int NODES = 5;
    private static final long DRIFT_PARTS_PER_MILLION = 500;
    private static final long FLOOR_DELAY_MILLISECONDS = 1_500;
    private static final long LEASE_MILLISECONDS = 700;
    private static final int FLOOR_FIRST_PERCENT = 60;

    private final UniformRandomProvider mRandom;
    private final GrantRules mRules;
    private final List<FleetNode> mNodes = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> mScheduled =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledEvent::time)
                            .thenComparingLong(ScheduledEvent::order));
    private final TokenLimit mLimit;
    private final ReferenceBucket mReference;
    private final Optional<LimitTolerance> mTolerance;
    private final int mFloorPercent;
    private final boolean mAlwaysUsesAllReserved;
    private final int mFaultChoices;
    private final int mLostMessagesPercent;
    private final boolean[] mCutFromLeaseService = new boolean[DATA_CENTRES];
    private final boolean[] mCutFromOthers = new boolean[DATA_CENTRES];
    private long mNow;
    private long mNextOrder;
    private long mStartedNodes;
    private long mReplaceAllowedFrom;
    private FleetNode mHomeNode;
    private long mFencing;
    private long mLeaseEnds;
    private long mUsedTokens;
    private long mLoadPhaseEnds;
    private int mCallsPerStep;
    private boolean mUsesAllReserved;
    private int mPreferredNode;

    LimitsFleet(long seed, GrantRules rules) {
        this(seed, rules, Optional.empty());
    }

    /** Creates a fleet; with a tolerance its nodes use their floors first. */
    LimitsFleet(long seed, GrantRules rules, Optional<LimitTolerance> tolerance) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mRules = rules;
        mLimit = LIMITS.get(mRandom.nextInt(LIMITS.size()));
        mTolerance = tolerance;
        long tolerated = tolerance.map(given -> toleratedTokens(given, mLimit)).orElse(0L);
        mReference =
                new ReferenceBucket(mLimit.rateTokensPerSecond(), mLimit.burstTokens() + tolerated);
        int floorPercent = mRandom.nextBoolean() ? 0 : 30;
        mFloorPercent = tolerance.isPresent() ? FLOOR_FIRST_PERCENT : floorPercent;
        mAlwaysUsesAllReserved = mRandom.nextBoolean();
        mFaultChoices = FAULT_CHOICES[mRandom.nextInt(FAULT_CHOICES.length)];
        mLostMessagesPercent = LOST_MESSAGES_PERCENT[mRandom.nextInt(LOST_MESSAGES_PERCENT.length)];
        for (int node = 0; node < NODES; node++) {
            start(node % DATA_CENTRES);
        }
    }

    /** Returns the whole stated tolerance of one window, in tokens. */
    private static long toleratedTokens(LimitTolerance tolerance, TokenLimit limit) {
        double seconds = tolerance.window().toSeconds();
        double allowed = limit.rateTokensPerSecond() * seconds + limit.burstTokens();
        return (long) (tolerance.share() * allowed + tolerance.tokens());
    }

    /** Runs steps of 1 to 40 milliseconds; stops as soon as the limit is exceeded. */
    void run(int steps) {
        for (int step = 0; step < steps && excessTokens() == 0; step++) {
            mNow += 1 + mRandom.nextInt(40);
            runScheduled();
            renewLease();
            tickNodes();
            injectFault();
            sendCalls();
        }
    }

    long excessTokens() {
        return mReference.excessTokens();
    }

    long usedTokens() {
        return mUsedTokens;
    }

    private void start(int dataCentre) {
        NodeName name = NodeName.of("node-" + mStartedNodes++);
        long drift =
                mRandom.nextInt((int) DRIFT_PARTS_PER_MILLION + 1) - DRIFT_PARTS_PER_MILLION / 2;
        DriftingClock clock =
                new DriftingClock(() -> mNow, 1_000_000 + mRandom.nextInt(1_000_000), drift);
        FleetNode node = new FleetNode(name, dataCentre, clock);
        LimiterSettings.Builder builder =
                LimiterSettings.builder(name, mStartedNodes)
                        .maximumNodes(NODES)
                        .floorDelayMilliseconds(FLOOR_DELAY_MILLISECONDS)
                        .grantLifetimeMilliseconds(400)
                        .floorPercent(mFloorPercent)
                        .messageLifetimeMilliseconds(20_000);
        mTolerance.ifPresent(
                tolerance ->
                        builder.prefetchMilliseconds(0)
                                .floorFirst(true)
                                .maximumWaitWithoutHomeMilliseconds(1_000)
                                .tolerance(tolerance));
        LimiterSettings settings = builder.build();
        node.mLimiter =
                new GrantLimiter(settings, mRules, clock, (to, message) -> send(node, to, message));
        node.mLimiter.limitChanged(ACCOUNT, mLimit);
        mNodes.add(node);
        if (mHomeNode != null) {
            announceHomeNode(node);
        }
    }

    private void send(FleetNode sender, NodeName receiver, LimitsMessage message) {
        int copies = mRandom.nextInt(100) < 6 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextInt(100) >= mLostMessagesPercent) {
                long delay = mRandom.nextInt(100) < 8 ? mRandom.nextInt(1_500) : mRandom.nextInt(5);
                schedule(mNow + delay, () -> deliverMessage(sender, receiver, message));
            }
        }
    }

    private void deliverMessage(FleetNode sender, NodeName receiver, LimitsMessage message) {
        for (FleetNode node : mNodes) {
            if (node.mName.equals(receiver) && areConnected(sender, node)) {
                node.deliver(() -> node.mLimiter.receive(sender.mName, message), mNow);
            }
        }
    }

    private boolean areConnected(FleetNode one, FleetNode other) {
        return one.mDataCentre == other.mDataCentre
                || !mCutFromOthers[one.mDataCentre] && !mCutFromOthers[other.mDataCentre];
    }

    private void runScheduled() {
        while (!mScheduled.isEmpty() && mScheduled.peek().time() <= mNow) {
            mScheduled.poll().event().run();
        }
    }

    private void renewLease() {
        boolean canRenew =
                mHomeNode != null && reachesLeaseService(mHomeNode) && !mHomeNode.mIsLeaving;
        if (canRenew && mLeaseEnds - mNow < LEASE_MILLISECONDS / 2) {
            deliverLease(OptionalLong.empty());
        }
        if (mHomeNode == null || mNow >= mLeaseEnds) {
            FleetNode candidate = mNodes.get(mRandom.nextInt(mNodes.size()));
            if (reachesLeaseService(candidate) && !candidate.mIsLeaving) {
                OptionalLong former =
                        mFencing == 0 ? OptionalLong.empty() : OptionalLong.of(mFencing);
                mHomeNode = candidate;
                mFencing++;
                deliverLease(former);
                mNodes.forEach(this::announceHomeNode);
            }
        }
    }

    private boolean reachesLeaseService(FleetNode node) {
        return !node.mIsDead
                && mNow >= node.mPausedUntil
                && !mCutFromLeaseService[node.mDataCentre];
    }

    private void deliverLease(OptionalLong former) {
        mLeaseEnds = mNow + LEASE_MILLISECONDS + LEASE_MILLISECONDS / 100;
        Instant until = mHomeNode.mClock.instant().plusMillis(LEASE_MILLISECONDS);
        OptionalLong formerFencing =
                former.isPresent() || mFencing == 1 ? former : previousFencing();
        HomeLease lease = new HomeLease(ACCOUNT, mFencing, until, formerFencing);
        FleetNode homeNode = mHomeNode;
        homeNode.deliver(() -> homeNode.mLimiter.homeLeaseHeld(lease), mNow);
    }

    private OptionalLong previousFencing() {
        return OptionalLong.of(mFencing - 1);
    }

    private void announceHomeNode(FleetNode node) {
        FleetNode homeNode = mHomeNode;
        long fencing = mFencing;
        long delay = mRandom.nextInt(4) == 0 ? mRandom.nextInt(700) : mRandom.nextInt(30);
        schedule(
                mNow + delay,
                () -> {
                    if (node != homeNode && !mCutFromLeaseService[node.mDataCentre]) {
                        node.deliver(
                                () ->
                                        node.mLimiter.homeNodeChanged(
                                                ACCOUNT, homeNode.mName, fencing),
                                mNow);
                    }
                });
    }

    private void tickNodes() {
        for (FleetNode node : mNodes) {
            node.run(mNow);
            if (mNow >= node.mNextTick && mNow >= node.mPausedUntil && !node.mIsDead) {
                node.mNextTick = mNow + TokenLimiter.TICK_MILLISECONDS;
                node.mLimiter.tick();
            }
        }
    }

    private void injectFault() {
        FleetNode node = mNodes.get(mRandom.nextInt(mNodes.size()));
        int dataCentre = mRandom.nextInt(DATA_CENTRES);
        switch (mRandom.nextInt(mFaultChoices)) {
            case 0, 1 -> node.mPausedUntil = mNow + mRandom.nextInt(1_500);
            case 2 -> mHomeNode.mPausedUntil = mNow + mRandom.nextInt(1_500);
            case 3 -> replaceProcess(node);
            case 4 -> replaceProcess(mHomeNode);
            case 5 -> releaseLease();
            case 6 -> mCutFromLeaseService[dataCentre] = true;
            case 7 -> mCutFromOthers[dataCentre] = true;
            case 8, 9 -> heal(dataCentre);
            default -> {
                // No fault in this step.
            }
        }
    }

    /**
     * Starts a replacement of a process, which may still run for a while. At most one replaced
     * process that may still run is older than the floor delay.
     */
    private void replaceProcess(FleetNode node) {
        if (mNow < mReplaceAllowedFrom) {
            return;
        }
        mReplaceAllowedFrom = mNow + FLOOR_DELAY_MILLISECONDS / 2;
        long outlives =
                mRandom.nextBoolean() ? 0 : mRandom.nextInt((int) FLOOR_DELAY_MILLISECONDS / 2);
        schedule(mNow + outlives, () -> kill(node));
        start(node.mDataCentre);
    }

    private void kill(FleetNode node) {
        node.mIsDead = true;
        mNodes.remove(node);
    }

    private void releaseLease() {
        FleetNode homeNode = mHomeNode;
        if (mNow >= homeNode.mPausedUntil && !homeNode.mIsDead && reachesLeaseService(homeNode)) {
            homeNode.mLimiter.stopGranting(ACCOUNT);
            mLeaseEnds = mNow;
        }
    }

    private void heal(int dataCentre) {
        mCutFromLeaseService[dataCentre] = false;
        mCutFromOthers[dataCentre] = false;
        mNodes.forEach(this::announceHomeNode);
    }

    /** Sends calls in phases of high and low load, on one preferred node or on all nodes. */
    private void sendCalls() {
        if (mNow >= mLoadPhaseEnds) {
            mLoadPhaseEnds = mNow + mRandom.nextInt(1_500);
            mCallsPerStep = mRandom.nextBoolean() ? 0 : 1 + mRandom.nextInt(12);
            mUsesAllReserved = mAlwaysUsesAllReserved || mRandom.nextBoolean();
            mPreferredNode = mRandom.nextInt(2 * NODES);
            pauseWithPendingGrant();
        }
        boolean isSingleCall = mCallsPerStep == 0 && mRandom.nextInt(8) == 0;
        for (int call = isSingleCall ? 1 : mCallsPerStep; call > 0; call--) {
            int chosen = mPreferredNode < NODES ? mPreferredNode : mRandom.nextInt(NODES);
            FleetNode node = mNodes.get(Math.min(chosen, mNodes.size() - 1));
            long tokens =
                    1
                            + mRandom.nextInt(
                                    CALL_SIZES_TOKENS[mRandom.nextInt(CALL_SIZES_TOKENS.length)]);
            node.deliver(() -> call(node, tokens), mNow);
        }
    }

    /**
     * Lets a node request tokens and pauses it, possibly until the grant has expired: a process
     * must not spend an expired grant after a pause.
     */
    private void pauseWithPendingGrant() {
        FleetNode node = mNodes.get(mRandom.nextInt(mNodes.size()));
        if (mFaultChoices < FAULT_CHOICES[2] && mRandom.nextInt(3) == 0) {
            node.deliver(() -> call(node, mLimit.burstTokens() / 3), mNow);
            node.mPausedUntil = Math.max(node.mPausedUntil, mNow + mRandom.nextInt(1_500));
        }
    }

    private void call(FleetNode node, long tokens) {
        node.mLimiter.reserve(ACCOUNT, tokens, admission -> onDecision(node, tokens, admission));
    }

    private void onDecision(FleetNode node, long tokens, Admission admission) {
        if (admission instanceof Admission.Granted granted) {
            long used = mUsesAllReserved ? tokens : mRandom.nextLong(tokens / 2 + 1);
            mUsedTokens += used;
            mReference.deduct(used, mNow);
            schedule(
                    mNow + mRandom.nextInt(1_500),
                    () ->
                            node.deliver(
                                    () -> node.mLimiter.settle(granted.reservation(), used), mNow));
        }
    }

    private void schedule(long time, Runnable event) {
        mScheduled.add(new ScheduledEvent(time, mNextOrder++, event));
    }

    private record ScheduledEvent(long time, long order, Runnable event) {}
}
