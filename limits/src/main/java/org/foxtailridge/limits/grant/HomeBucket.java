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
 * The bucket of one client account at its home node, under one fencing number.
 *
 * <p>Tokens that a holder may still spend count against the capacity until the holder reports less
 * or they have lapsed. A home node that does not know what former ones granted counts the whole
 * capacity as outstanding until all such grants have lapsed.
 */
final class HomeBucket {
    private static final long MILLION = 1_000_000;
    private static final long GRANT_DIVISOR = 6;
    private static final long LEND_PAUSE_MILLISECONDS = 5_000;
    private static final long RECALL_ROUND_MILLISECONDS = 20;
    private static final int MAXIMUM_UNUSED_ENTRIES = 64;

    private final LimiterSettings mSettings;
    private final GrantRules mRules;
    private final HomeLease mFirstLease;
    private final TokenBucket mBucket;
    private final Map<NodeName, HolderSession> mSessions = new HashMap<>();
    private final RecallBackoff mRecall = new RecallBackoff();
    private long mUntilMilliseconds;
    private long mFormerTokens;
    private long mFormerUntilMilliseconds;
    private boolean mFormerUnknown;
    private boolean mClosed;

    HomeBucket(
            LimiterSettings settings,
            GrantRules rules,
            LimitSplit parts,
            HomeLease lease,
            long nowMilliseconds) {
        mSettings = settings;
        mRules = rules;
        mFirstLease = lease;
        mUntilMilliseconds = lease.validUntil().toEpochMilli();
        mBucket =
                new TokenBucket(
                        parts.homeMilliTokensPerSecond(),
                        parts.homeCapacityTokens(),
                        nowMilliseconds);
        if (rules.startsFull(lease)) {
            mBucket.fill();
        } else if (rules.countsFormerGrants()) {
            mFormerUnknown = true;
            mFormerTokens = parts.homeCapacityTokens();
            mFormerUntilMilliseconds = nowMilliseconds + grantLifetimeMilliseconds();
        }
        updateOutstanding();
    }

    long fencing() {
        return mFirstLease.fencing();
    }

    void renew(HomeLease lease) {
        mUntilMilliseconds = Math.max(mUntilMilliseconds, lease.validUntil().toEpochMilli());
    }

    void setLimit(LimitSplit parts, long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        mBucket.setLimit(parts.homeMilliTokensPerSecond(), parts.homeCapacityTokens());
    }

    /** Stops granting for good. */
    void close() {
        mClosed = true;
    }

    /** Returns whether grants are made at this instant. */
    boolean isOpen(long nowMilliseconds) {
        return !mClosed && mRules.isLeaseValid(nowMilliseconds, mUntilMilliseconds);
    }

    /** Answers a request, or returns null when it is old or this node may not grant. */
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
        long reportStamp = session.hasUnexpiredGrant(nowMilliseconds) ? mBucket.newStamp() : 0;
        mBucket.tryTake(Math.min(session.removeDeferredTokens(), mBucket.level()));
        boolean lendUseful = applyBatch(session, request, freed);
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
                .setLendAfterMs(lendUseful ? 0 : LEND_PAUSE_MILLISECONDS)
                .build();
    }

    private boolean isRecallDue(long nowMilliseconds) {
        return mSessions.size() > 1 && mRecall.isDue(nowMilliseconds);
    }

    private long retryAfter(GrantRequest request, long nowMilliseconds) {
        long refilled = mBucket.millisecondsUntil(request.getMinimumTokens());
        return isRecallDue(nowMilliseconds)
                ? Math.min(refilled, RECALL_ROUND_MILLISECONDS)
                : refilled;
    }

    /**
     * Returns the holders that are to send back tokens after a request was answered with none. None
     * for some time after the last recall, longer each time that recalls brought nothing.
     */
    Set<NodeName> holdersToRecall(NodeName requester, GrantAnswer answer, long nowMilliseconds) {
        boolean wanting = answer.getGrantedTokens() == 0 && answer.getRetryAfterMs() > 0;
        if (!wanting || !isRecallDue(nowMilliseconds)) {
            return Set.of();
        }
        mRecall.recallSent(nowMilliseconds);
        Set<NodeName> holders = new TreeSet<>(mSessions.keySet());
        holders.remove(requester);
        return holders;
    }

    /** Drops what has lapsed at holders, refills, and forgets holders that are long silent. */
    void expire(long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        if (nowMilliseconds >= mFormerUntilMilliseconds) {
            mFormerTokens = 0;
            mFormerUnknown = false;
        }
        long silentSince = nowMilliseconds - mSettings.messageLifetimeMilliseconds();
        mSessions.values().forEach(session -> session.expire(nowMilliseconds));
        mSessions.values().removeIf(session -> session.lastRequestMilliseconds() < silentSince);
        updateOutstanding();
    }

    /** Returns the state for the next home node; only after this one has stopped granting. */
    HomeHandover createHandover(long nowMilliseconds) {
        expire(nowMilliseconds);
        return HomeHandover.newBuilder()
                .setAccount(mFirstLease.account().value())
                .setFencing(fencing())
                .setLevelTokens(mBucket.level())
                .setOutstandingTokens(outstandingTokens())
                .build();
    }

    /**
     * Takes over the state of the home node before this one. Has an effect once, and only while its
     * grants are still counted as unknown, as nothing was granted here until then.
     */
    void applyHandover(HomeHandover handover, long nowMilliseconds) {
        expire(nowMilliseconds);
        boolean fromFormer =
                mFirstLease.formerFencing().isPresent()
                        && mFirstLease.formerFencing().getAsLong() == handover.getFencing();
        if (!fromFormer || !mFormerUnknown) {
            return;
        }
        mFormerUnknown = false;
        mFormerTokens = handover.getOutstandingTokens();
        updateOutstanding();
        mBucket.add(handover.getLevelTokens());
    }

    private boolean applyBatch(HolderSession session, GrantRequest request, long freedTokens) {
        if (request.getBatch() == 0
                || !mRules.isNewBatch(request.getBatch(), session.acceptedBatch())) {
            return true;
        }
        session.setAcceptedBatch(request.getBatch());
        long returned = mBucket.add(Math.min(request.getReturnedTokens(), freedTokens));
        long given =
                request.getUnusedList().stream()
                        .limit(MAXIMUM_UNUSED_ENTRIES)
                        .mapToLong(this::refund)
                        .sum();
        long added = mBucket.add(request.getLentTokens());
        mRecall.addReceivedTokens(returned + given + added);
        return added >= request.getLentTokens();
    }

    private long refund(UnusedTokens unused) {
        return mRules.refund(mBucket, unused.getStamp(), Math.max(0, unused.getTokens()));
    }

    private long grant(HolderSession session, GrantRequest request, long nowMilliseconds) {
        long level = mBucket.level();
        long minimum = Math.max(1, request.getMinimumTokens());
        if (request.getWantedTokens() <= 0 || level < minimum) {
            return 0;
        }
        long most = Math.max(minimum, level / GRANT_DIVISOR);
        long granted = Math.min(most, Math.max(minimum, request.getWantedTokens()));
        if (mRules.deductsBeforeSending()) {
            mBucket.tryTake(granted);
            session.addGrant(granted, nowMilliseconds + grantLifetimeMilliseconds());
            updateOutstanding();
            mRecall.addGrant(granted);
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

    private long grantLifetimeMilliseconds() {
        long grant = mSettings.grantMilliseconds();
        return grant + 1 + grant * 2 * mSettings.clockDriftPartsPerMillion() / MILLION + 1;
    }

    private long outstandingTokens() {
        long held = 0;
        for (HolderSession session : mSessions.values()) {
            held += session.outstandingTokens();
        }
        return held + mFormerTokens;
    }

    private void updateOutstanding() {
        mBucket.setOutstanding(outstandingTokens());
    }
}
