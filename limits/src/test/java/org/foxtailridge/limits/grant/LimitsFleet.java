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
 * A few nodes in three data centres under random faults, with one client account whose every used
 * token is checked against {@link ExactWindow}.
 */
final class LimitsFleet {
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final List<TokenLimit> LIMITS =
            List.of(
                    TokenLimit.of(2_000, 1_000),
                    TokenLimit.of(400, 2_000),
                    TokenLimit.of(5_000, 600));
    private static final int[] SIZES = {10, 80, 80, 600};
    private static final int[] FAULTS_IN = {30, 90, 5_000};
    private static final int[] LOST_PERCENT = {0, 4, 20};
    private static final int DATA_CENTRES = 3;
    private static final int NODES = 5;
    private static final long DRIFT = 500;
    private static final long FLOOR_DELAY = 1_500;
    private static final long LEASE = 700;
    private static final int FIRST_FLOOR_PERCENT = 60;

    private final UniformRandomProvider mRandom;
    private final GrantRules mRules;
    private final List<FleetNode> mNodes = new ArrayList<>();
    private final PriorityQueue<Due> mDue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final TokenLimit mLimit;
    private final ExactWindow mExact;
    private final Optional<LimitTolerance> mTolerance;
    private final int mFloorPercent;
    private final boolean mAlwaysUsesAll;
    private final int mFaultsIn;
    private final int mLostPercent;
    private final boolean[] mCutFromPlatform = new boolean[DATA_CENTRES];
    private final boolean[] mCutFromOthers = new boolean[DATA_CENTRES];
    private long mNow;
    private long mOrder;
    private long mNames;
    private long mReplaceAllowedFrom;
    private FleetNode mHolder;
    private long mFencing;
    private long mLeaseEnds;
    private long mGranted;
    private long mSpellEnds;
    private int mCallsPerStep;
    private boolean mUsesAll;
    private int mFavourite;

    LimitsFleet(long seed, GrantRules rules) {
        this(seed, rules, Optional.empty());
    }

    /** Creates a fleet whose nodes use their floors first, when a tolerance is given. */
    LimitsFleet(long seed, GrantRules rules, Optional<LimitTolerance> tolerance) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mRules = rules;
        mLimit = LIMITS.get(mRandom.nextInt(LIMITS.size()));
        mTolerance = tolerance;
        long tolerated = tolerance.map(given -> tolerated(given, mLimit)).orElse(0L);
        mExact = new ExactWindow(mLimit.rateTokensPerSecond(), mLimit.burstTokens() + tolerated);
        int floorPercent = mRandom.nextBoolean() ? 0 : 30;
        mFloorPercent = tolerance.isPresent() ? FIRST_FLOOR_PERCENT : floorPercent;
        mAlwaysUsesAll = mRandom.nextBoolean();
        mFaultsIn = FAULTS_IN[mRandom.nextInt(FAULTS_IN.length)];
        mLostPercent = LOST_PERCENT[mRandom.nextInt(LOST_PERCENT.length)];
        for (int node = 0; node < NODES; node++) {
            start(node % DATA_CENTRES);
        }
    }

    /** Returns the whole tolerance in tokens, as it is stated. */
    private static long tolerated(LimitTolerance tolerance, TokenLimit limit) {
        double seconds = tolerance.window().toSeconds();
        double allowed = limit.rateTokensPerSecond() * seconds + limit.burstTokens();
        return (long) (tolerance.share() * allowed + tolerance.tokens());
    }

    /** Runs a number of steps of a few milliseconds; stops at the first excess. */
    void run(int steps) {
        for (int step = 0; step < steps && overTokens() == 0; step++) {
            mNow += 1 + mRandom.nextInt(40);
            deliverDue();
            renewLease();
            tickNodes();
            fault();
            callers();
        }
    }

    long overTokens() {
        return mExact.overTokens();
    }

    long grantedTokens() {
        return mGranted;
    }

    private void start(int dataCentre) {
        NodeName name = NodeName.of("node-" + mNames++);
        long drift = mRandom.nextInt((int) DRIFT + 1) - DRIFT / 2;
        DriftingClock clock =
                new DriftingClock(() -> mNow, 1_000_000 + mRandom.nextInt(1_000_000), drift);
        FleetNode node = new FleetNode(name, dataCentre, clock);
        LimiterSettings.Builder builder =
                LimiterSettings.builder(name, mNames)
                        .maximumNodes(NODES)
                        .floorDelayMilliseconds(FLOOR_DELAY)
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
        if (mHolder != null) {
            tellHome(node);
        }
    }

    private void send(FleetNode sender, NodeName receiver, LimitsMessage message) {
        int copies = mRandom.nextInt(100) < 6 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextInt(100) >= mLostPercent) {
                long delay = mRandom.nextInt(100) < 8 ? mRandom.nextInt(1_500) : mRandom.nextInt(5);
                at(mNow + delay, () -> arrive(sender, receiver, message));
            }
        }
    }

    private void arrive(FleetNode sender, NodeName receiver, LimitsMessage message) {
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

    private void deliverDue() {
        while (!mDue.isEmpty() && mDue.peek().at() <= mNow) {
            mDue.poll().event().run();
        }
    }

    private void renewLease() {
        boolean heard = mHolder != null && reachesPlatform(mHolder) && !mHolder.mLeaving;
        if (heard && mLeaseEnds - mNow < LEASE / 2) {
            grantLease(OptionalLong.empty());
        }
        if (mHolder == null || mNow >= mLeaseEnds) {
            FleetNode next = mNodes.get(mRandom.nextInt(mNodes.size()));
            if (reachesPlatform(next) && !next.mLeaving) {
                OptionalLong former =
                        mFencing == 0 ? OptionalLong.empty() : OptionalLong.of(mFencing);
                mHolder = next;
                mFencing++;
                grantLease(former);
                mNodes.forEach(this::tellHome);
            }
        }
    }

    private boolean reachesPlatform(FleetNode node) {
        return !node.mDead && mNow >= node.mPausedUntil && !mCutFromPlatform[node.mDataCentre];
    }

    private void grantLease(OptionalLong former) {
        mLeaseEnds = mNow + LEASE + LEASE / 100;
        Instant until = mHolder.mClock.instant().plusMillis(LEASE);
        OptionalLong before = former.isPresent() || mFencing == 1 ? former : beforeThis();
        HomeLease lease = new HomeLease(ACCOUNT, mFencing, until, before);
        FleetNode holder = mHolder;
        holder.deliver(() -> holder.mLimiter.homeLeaseHeld(lease), mNow);
    }

    private OptionalLong beforeThis() {
        return OptionalLong.of(mFencing - 1);
    }

    private void tellHome(FleetNode node) {
        FleetNode holder = mHolder;
        long fencing = mFencing;
        long delay = mRandom.nextInt(4) == 0 ? mRandom.nextInt(700) : mRandom.nextInt(30);
        at(
                mNow + delay,
                () -> {
                    if (node != holder && !mCutFromPlatform[node.mDataCentre]) {
                        node.deliver(
                                () -> node.mLimiter.homeNodeChanged(ACCOUNT, holder.mName, fencing),
                                mNow);
                    }
                });
    }

    private void tickNodes() {
        for (FleetNode node : mNodes) {
            node.run(mNow);
            if (mNow >= node.mNextTick && mNow >= node.mPausedUntil && !node.mDead) {
                node.mNextTick = mNow + TokenLimiter.TICK_MILLISECONDS;
                node.mLimiter.tick();
            }
        }
    }

    private void fault() {
        FleetNode node = mNodes.get(mRandom.nextInt(mNodes.size()));
        int dataCentre = mRandom.nextInt(DATA_CENTRES);
        switch (mRandom.nextInt(mFaultsIn)) {
            case 0, 1 -> node.mPausedUntil = mNow + mRandom.nextInt(1_500);
            case 2 -> mHolder.mPausedUntil = mNow + mRandom.nextInt(1_500);
            case 3 -> replace(node);
            case 4 -> replace(mHolder);
            case 5 -> release();
            case 6 -> mCutFromPlatform[dataCentre] = true;
            case 7 -> mCutFromOthers[dataCentre] = true;
            case 8, 9 -> heal(dataCentre);
            default -> {
                // Nothing fails in this step.
            }
        }
    }

    /** Replaces a process; at most one of those that still may run is older than the delay. */
    private void replace(FleetNode node) {
        if (mNow < mReplaceAllowedFrom) {
            return;
        }
        mReplaceAllowedFrom = mNow + FLOOR_DELAY / 2;
        long survives = mRandom.nextBoolean() ? 0 : mRandom.nextInt((int) FLOOR_DELAY / 2);
        at(mNow + survives, () -> kill(node));
        start(node.mDataCentre);
    }

    private void kill(FleetNode node) {
        node.mDead = true;
        mNodes.remove(node);
    }

    private void release() {
        FleetNode holder = mHolder;
        if (mNow >= holder.mPausedUntil && !holder.mDead && reachesPlatform(holder)) {
            holder.mLimiter.stopGranting(ACCOUNT);
            mLeaseEnds = mNow;
        }
    }

    private void heal(int dataCentre) {
        mCutFromPlatform[dataCentre] = false;
        mCutFromOthers[dataCentre] = false;
        mNodes.forEach(this::tellHome);
    }

    /** Calls come in loud and quiet spells, some on one node and some on all. */
    private void callers() {
        if (mNow >= mSpellEnds) {
            mSpellEnds = mNow + mRandom.nextInt(1_500);
            mCallsPerStep = mRandom.nextBoolean() ? 0 : 1 + mRandom.nextInt(12);
            mUsesAll = mAlwaysUsesAll || mRandom.nextBoolean();
            mFavourite = mRandom.nextInt(2 * NODES);
            pauseWithGrantUnderWay();
        }
        boolean trickle = mCallsPerStep == 0 && mRandom.nextInt(8) == 0;
        for (int call = trickle ? 1 : mCallsPerStep; call > 0; call--) {
            int chosen = mFavourite < NODES ? mFavourite : mRandom.nextInt(NODES);
            FleetNode node = mNodes.get(Math.min(chosen, mNodes.size() - 1));
            long tokens = 1 + mRandom.nextInt(SIZES[mRandom.nextInt(SIZES.length)]);
            node.deliver(() -> call(node, tokens), mNow);
        }
    }

    /** Lets a node ask for tokens and pause until they have lapsed. */
    private void pauseWithGrantUnderWay() {
        FleetNode node = mNodes.get(mRandom.nextInt(mNodes.size()));
        if (mFaultsIn < FAULTS_IN[2] && mRandom.nextInt(3) == 0) {
            node.deliver(() -> call(node, mLimit.burstTokens() / 3), mNow);
            node.mPausedUntil = Math.max(node.mPausedUntil, mNow + mRandom.nextInt(1_500));
        }
    }

    private void call(FleetNode node, long tokens) {
        node.mLimiter.reserve(ACCOUNT, tokens, admission -> decided(node, tokens, admission));
    }

    private void decided(FleetNode node, long tokens, Admission admission) {
        if (admission instanceof Admission.Granted granted) {
            long used = mUsesAll ? tokens : mRandom.nextLong(tokens / 2 + 1);
            mGranted += used;
            mExact.use(used, mNow);
            at(
                    mNow + mRandom.nextInt(1_500),
                    () ->
                            node.deliver(
                                    () -> node.mLimiter.settle(granted.reservation(), used), mNow));
        }
    }

    private void at(long time, Runnable event) {
        mDue.add(new Due(time, mOrder++, event));
    }

    private record Due(long at, long order, Runnable event) {}
}
