package org.foxtailridge.limits.grant;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.bucket.TokenBucket;
import org.foxtailridge.protocol.limits.GrantAnswer;
import org.foxtailridge.protocol.limits.GrantRequest;
import org.foxtailridge.protocol.limits.HomeHandover;
import org.foxtailridge.protocol.limits.UnusedTokens;

/**
 * Token bucket of one client account on its home node, under one fencing number. Answers grant
 * requests of holders, the processes that spend the tokens.
 *
 * <p>Tokens that a holder may still spend are outstanding: they count against the capacity until
 * the holder reports fewer held tokens or they have expired. A home node that does not know what
 * former home nodes have granted counts the whole capacity as outstanding until all those grants
 * have expired; otherwise both generations of grants together could exceed the burst.
 */
final class HomeBucket {
    private static final long PARTS_PER_MILLION = 1_000_000;
    private static final long MAXIMUM_GRANT_DIVISOR = 6;
    private static final long LENDING_BACKOFF_MILLISECONDS = 5_000;
    private static final long RECALL_ROUND_TRIP_MILLISECONDS = 20;
    private static final int MAXIMUM_UNUSED_ENTRIES = 64;

    private final LimiterSettings mSettings;
    private final GrantRules mRules;
    private final HomeLease mInitialLease;
    private final TokenBucket mBucket;
    private final Map<NodeName, HolderSession> mSessions = new HashMap<>();
    private final RecallBackoff mRecallBackoff = new RecallBackoff();
    private long mLeaseExpiryMilliseconds;
    private long mFormerGrantsTokens;
    private long mFormerGrantsExpiryMilliseconds;
    private boolean mAreFormerGrantsUnknown;
    private boolean mIsClosed;

    HomeBucket(
            LimiterSettings settings,
            GrantRules rules,
            LimitSplit split,
            HomeLease lease,
            long nowMilliseconds) {
        mSettings = settings;
        mRules = rules;
        mInitialLease = lease;
        mLeaseExpiryMilliseconds = lease.validUntil().toEpochMilli();
        mBucket =
                new TokenBucket(
                        split.homeMilliTokensPerSecond(),
                        split.homeCapacityTokens(),
                        nowMilliseconds);
        if (rules.startsFull(lease)) {
            mBucket.fill();
        } else if (rules.countsFormerGrants()) {
            mAreFormerGrantsUnknown = true;
            mFormerGrantsTokens = split.homeCapacityTokens();
            mFormerGrantsExpiryMilliseconds = nowMilliseconds + grantLifetimeMilliseconds();
        }
        updateOutstanding();
    }

    long fencing() {
        return mInitialLease.fencing();
    }

    void renew(HomeLease lease) {
        mLeaseExpiryMilliseconds =
                Math.max(mLeaseExpiryMilliseconds, lease.validUntil().toEpochMilli());
    }

    void setLimit(LimitSplit split, long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        mBucket.setLimit(split.homeMilliTokensPerSecond(), split.homeCapacityTokens());
    }

    /** Stops granting permanently. */
    void close() {
        mIsClosed = true;
    }

    /** Returns whether grants are made at this instant. */
    boolean isOpen(long nowMilliseconds) {
        return !mIsClosed && mRules.isLeaseValid(nowMilliseconds, mLeaseExpiryMilliseconds);
    }

    /**
     * Answers a grant request.
     *
     * @return answer, or null if the request is out of date or a duplicate, if it names another
     *     fencing number, if this node may not grant, or if it serves as many holders as it may
     */
    GrantAnswer answer(NodeName sender, GrantRequest request, long nowMilliseconds) {
        if (!isOpen(nowMilliseconds) || request.getFencing() != fencing()) {
            return null;
        }
        HolderSession session = sessionOf(sender);
        if (session == null
                || !session.acceptRequest(
                        request.getIncarnation(), request.getNumber(), nowMilliseconds)) {
            return null;
        }
        expire(nowMilliseconds);
        long freed = session.updateHeldTokens(request.getHeldTokens());
        updateOutstanding();
        // 0 means no stamp: expired tokens no longer count as outstanding.
        long reportStamp = session.hasUnexpiredGrant(nowMilliseconds) ? mBucket.newStamp() : 0;
        mBucket.tryAcquire(Math.min(session.removeDeferredTokens(), mBucket.level()));
        boolean acceptsLentTokens = applyBatch(session, request, freed);
        long granted = grant(session, request, nowMilliseconds);
        long retryAfter = granted > 0 ? 0 : retryAfter(request, nowMilliseconds);
        return GrantAnswer.newBuilder()
                .setAccount(request.getAccount())
                .setFencing(fencing())
                .setNumber(request.getNumber())
                .setIncarnation(request.getIncarnation())
                .setGrantedTokens(granted)
                .setStamp(mBucket.stamp())
                .setReportStamp(reportStamp)
                .setTakenBatch(session.acceptedBatch())
                .setRetryAfterMs(retryAfter)
                .setLendAfterMs(acceptsLentTokens ? 0 : LENDING_BACKOFF_MILLISECONDS)
                .build();
    }

    private boolean isRecallDue(long nowMilliseconds) {
        return mSessions.size() > 1 && mRecallBackoff.isDue(nowMilliseconds);
    }

    /** Returns the milliseconds until refill, or a recall if one is due, may bring the minimum. */
    private long retryAfter(GrantRequest request, long nowMilliseconds) {
        long refilled = mBucket.millisecondsUntil(request.getMinimumTokens());
        return isRecallDue(nowMilliseconds)
                ? Math.min(refilled, RECALL_ROUND_TRIP_MILLISECONDS)
                : refilled;
    }

    /**
     * Returns the holders to recall tokens from after an answer without tokens: all but the
     * requester. Returns none until the recall backoff has elapsed, which grows while recalls bring
     * back too few tokens.
     */
    Set<NodeName> holdersToRecall(NodeName requester, GrantAnswer answer, long nowMilliseconds) {
        boolean isUnserved = answer.getGrantedTokens() == 0 && answer.getRetryAfterMs() > 0;
        if (!isUnserved || !isRecallDue(nowMilliseconds)) {
            return Set.of();
        }
        mRecallBackoff.recallSent(nowMilliseconds);
        Set<NodeName> holders = new TreeSet<>(mSessions.keySet());
        holders.remove(requester);
        return holders;
    }

    /** Refills the bucket, expires grants, and removes holders that have sent nothing for long. */
    void expire(long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        if (nowMilliseconds >= mFormerGrantsExpiryMilliseconds) {
            mFormerGrantsTokens = 0;
            mAreFormerGrantsUnknown = false;
        }
        long idleBefore = nowMilliseconds - mSettings.messageLifetimeMilliseconds();
        mSessions.values().forEach(session -> session.expire(nowMilliseconds));
        mSessions.values().removeIf(session -> session.lastRequestMilliseconds() < idleBefore);
        updateOutstanding();
    }

    /** Returns the state for the next home node; to be called only after {@link #close}. */
    HomeHandover createHandover(long nowMilliseconds) {
        expire(nowMilliseconds);
        return HomeHandover.newBuilder()
                .setAccount(mInitialLease.account().value())
                .setFencing(fencing())
                .setLevelTokens(mBucket.level())
                .setOutstandingTokens(outstandingTokens())
                .build();
    }

    /**
     * Adds the level and outstanding tokens of the home node right before this one. Has an effect
     * only once, and only while that node's grants count as unknown, since nothing is granted here
     * until then.
     */
    void applyHandover(HomeHandover handover, long nowMilliseconds) {
        expire(nowMilliseconds);
        boolean isFromFormerHomeNode =
                mInitialLease.formerFencing().isPresent()
                        && mInitialLease.formerFencing().getAsLong() == handover.getFencing();
        if (!isFromFormerHomeNode || !mAreFormerGrantsUnknown) {
            return;
        }
        mAreFormerGrantsUnknown = false;
        mFormerGrantsTokens = handover.getOutstandingTokens();
        updateOutstanding();
        mBucket.add(handover.getLevelTokens());
    }

    /**
     * Adds the tokens of a request's batch to the bucket, unless the batch was accepted before.
     *
     * @param session holder that sent the request
     * @param request request with the batch
     * @param freedTokens tokens that the holder no longer holds; the bound of returned tokens
     * @return whether the bucket had capacity for all lent tokens
     */
    private boolean applyBatch(HolderSession session, GrantRequest request, long freedTokens) {
        if (request.getBatch() == 0
                || !mRules.isNewBatch(request.getBatch(), session.acceptedBatch())) {
            return true;
        }
        session.setAcceptedBatch(request.getBatch());
        long returned = mBucket.add(Math.min(request.getReturnedTokens(), freedTokens));
        long refunded =
                request.getUnusedList().stream()
                        .limit(MAXIMUM_UNUSED_ENTRIES)
                        .mapToLong(this::refund)
                        .sum();
        long added = mBucket.add(request.getLentTokens());
        mRecallBackoff.addReceivedTokens(returned + refunded + added);
        return added >= request.getLentTokens();
    }

    private long refund(UnusedTokens unused) {
        return mRules.refund(mBucket, unused.getStamp(), Math.max(0, unused.getTokens()));
    }

    /**
     * Grants at most a sixth of the level, or the request's minimum if that is more.
     *
     * @return tokens granted; 0 if the level is below the minimum
     */
    private long grant(HolderSession session, GrantRequest request, long nowMilliseconds) {
        long level = mBucket.level();
        long minimum = Math.max(1, request.getMinimumTokens());
        if (request.getWantedTokens() <= 0 || level < minimum) {
            return 0;
        }
        long maximum = Math.max(minimum, level / MAXIMUM_GRANT_DIVISOR);
        long granted = Math.min(maximum, Math.max(minimum, request.getWantedTokens()));
        if (mRules.deductsBeforeSending()) {
            mBucket.tryAcquire(granted);
            session.addGrant(granted, nowMilliseconds + grantLifetimeMilliseconds());
            updateOutstanding();
            mRecallBackoff.addGrant(granted);
        } else {
            session.deferDeduction(granted);
        }
        return granted;
    }

    private HolderSession sessionOf(NodeName sender) {
        HolderSession session = mSessions.get(sender);
        if (session == null && mSessions.size() < mSettings.maximumHolders()) {
            session = new HolderSession();
            mSessions.put(sender, session);
        }
        return session;
    }

    /**
     * Returns the time for which a grant counts as outstanding: its lifetime at the holder, with
     * the clock drift of both nodes and the rounding to milliseconds.
     */
    private long grantLifetimeMilliseconds() {
        long lifetime = mSettings.grantLifetimeMilliseconds();
        return lifetime
                + 1
                + lifetime * 2 * mSettings.clockDriftPartsPerMillion() / PARTS_PER_MILLION
                + 1;
    }

    private long outstandingTokens() {
        long held = 0;
        for (HolderSession session : mSessions.values()) {
            held += session.outstandingTokens();
        }
        return held + mFormerGrantsTokens;
    }

    private void updateOutstanding() {
        mBucket.setOutstanding(outstandingTokens());
    }
}
