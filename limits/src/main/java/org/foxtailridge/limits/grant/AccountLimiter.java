package org.foxtailridge.limits.grant;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.LimiterOutbox;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.protocol.limits.GrantAnswer;
import org.foxtailridge.protocol.limits.GrantRequest;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Admission control of one client account on one node.
 *
 * <p>Tokens come from two sources: the pool of tokens that the home node has granted, and this
 * node's floor. The settings say whether the floor is used first, or only while the home node has
 * too few tokens or can't be reached. A reservation that neither source can serve at once waits in
 * a queue for the home node's answer, up to its deadline.
 */
final class AccountLimiter {
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    // Below this part of the prefetch target the pool is low; a recall leaves as much.
    private static final long LOW_LEVEL_DIVISOR = 4;
    private static final long REPORT_INTERVAL_MILLISECONDS = 1_000;
    private static final long MINIMUM_BACKOFF_MILLISECONDS = 100;
    private static final long PARTIAL_GRANT_BACKOFF_MILLISECONDS = 200;
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 1_000;

    private final LimiterSettings mSettings;
    private final ClientAccountName mAccount;
    private final LimiterOutbox mOutbox;
    private final OpenReservations mReservations;
    private final TokenPool mPool;
    private final FloorBucket mFloor;
    private final HomeSession mHomeSession;
    private final ReportBatch mReport = new ReportBatch();
    private final UnreportedReservations mUnreportedReservations;
    private final TokenRateMeter mReservedRate;
    private final TokenRateMeter mGrantedRate;
    private final ReservationQueue mQueue = new ReservationQueue();
    private LimitSplit mSplit;
    // Tokens used beyond reservations; deducted from the next grants.
    private long mDebtTokens;
    private long mBackoffMilliseconds = MINIMUM_BACKOFF_MILLISECONDS;
    private boolean mHasLimit = true;
    private boolean mIsRecallUnanswered;

    AccountLimiter(
            LimiterSettings settings,
            GrantRules rules,
            ClientAccountName account,
            LimitSplit split,
            long floorActiveFromMilliseconds,
            long nowMilliseconds,
            OpenReservations reservations,
            LimiterOutbox outbox) {
        mSettings = settings;
        mAccount = account;
        mSplit = split;
        mOutbox = outbox;
        mReservations = reservations;
        mUnreportedReservations = new UnreportedReservations(reservations);
        mPool = new TokenPool(rules);
        mFloor = new FloorBucket(split, floorActiveFromMilliseconds, nowMilliseconds);
        mHomeSession = new HomeSession(settings, account);
        mReservedRate = new TokenRateMeter(nowMilliseconds);
        mGrantedRate = new TokenRateMeter(nowMilliseconds);
    }

    void setLimit(LimitSplit split, long nowMilliseconds) {
        mHasLimit = true;
        mSplit = split;
        mFloor.setLimit(split, nowMilliseconds);
    }

    /**
     * Grants a reservation, queues it or refuses it.
     *
     * @param tokens tokens to reserve
     * @param maximumWaitMilliseconds maximum time that the reservation may wait; the settings may
     *     allow less
     * @param decision called exactly once, now or later
     * @param nowMilliseconds instant by this node's clock
     */
    void reserve(
            long tokens,
            long maximumWaitMilliseconds,
            Consumer<Admission> decision,
            long nowMilliseconds) {
        if (!mHasLimit) {
            decision.accept(new Admission.UnknownAccount());
            return;
        }
        if (tokens > mSplit.homeCapacityTokens()) {
            decision.accept(new Admission.LargerThanBurst(mSplit.homeCapacityTokens()));
            return;
        }
        if (mReservations.isFull() || mQueue.size() >= mSettings.maximumWaiting()) {
            decision.accept(new Admission.Overloaded());
            return;
        }
        expireAndRefill(nowMilliseconds);
        mReservedRate.add(tokens);
        if (waitsWithoutHome()) {
            reserveWithoutHome(tokens, maximumWaitMilliseconds, decision, nowMilliseconds);
            return;
        }
        long waitMilliseconds =
                Math.min(maximumWaitMilliseconds, mSettings.maximumWaitMilliseconds());
        long deadline = nowMilliseconds + waitMilliseconds;
        if (mSettings.floorFirst() && mQueue.isEmpty() && grantFromFloor(tokens, decision)) {
            return;
        }
        if (mQueue.isEmpty() && grantFromPool(tokens, decision)) {
            requestWhenLow(nowMilliseconds);
        } else if (mHomeSession.isBackingOff(tokens, nowMilliseconds)
                && grantFromFloor(tokens, decision)) {
            requestWhenLow(nowMilliseconds);
        } else if (!mHomeSession.isHomeResponsive()
                || isBackingOffBeyond(tokens, deadline, nowMilliseconds)) {
            grantFromFloorOrRefuse(tokens, decision, nowMilliseconds);
        } else {
            WaitingReservation waiting = new WaitingReservation(tokens, deadline, decision);
            mQueue.add(waiting, false, nowMilliseconds);
            requestForWaiting(nowMilliseconds);
        }
    }

    /** Returns whether reservations wait although the home node can't be reached. */
    private boolean waitsWithoutHome() {
        return !mHomeSession.isHomeResponsive()
                && mSettings.maximumWaitWithoutHomeMilliseconds() > 0;
    }

    /** Queues a reservation if its expected wait is not longer than the wait that is allowed. */
    private void reserveWithoutHome(
            long tokens,
            long maximumWaitMilliseconds,
            Consumer<Admission> decision,
            long nowMilliseconds) {
        boolean isFirst = mQueue.mayOvertake(tokens);
        if (isFirst && (grantFromFloor(tokens, decision) || grantFromPool(tokens, decision))) {
            return;
        }
        long maximumWaitWithoutHome = mSettings.maximumWaitWithoutHomeMilliseconds();
        long allowedWait = mQueue.allowedWaitMilliseconds(maximumWaitWithoutHome, nowMilliseconds);
        long expectedWait = mQueue.expectedWaitMilliseconds(tokens, expectedTokensPerSecond());
        long waitMilliseconds = Math.min(maximumWaitMilliseconds, allowedWait);
        if (expectedWait > waitMilliseconds) {
            long retryAfter = Math.max(1, Math.min(MAXIMUM_BACKOFF_MILLISECONDS, expectedWait));
            decision.accept(new Admission.Refused(Duration.ofMillis(retryAfter)));
            return;
        }
        WaitingReservation waiting =
                new WaitingReservation(tokens, nowMilliseconds + waitMilliseconds, decision);
        mQueue.add(waiting, isFirst, nowMilliseconds);
        requestForWaiting(nowMilliseconds);
    }

    /** Returns the recent rate of granted reservations, at least an equal share of the limit. */
    private long expectedTokensPerSecond() {
        return Math.max(mGrantedRate.tokensPerSecond(), mSplit.equalShareTokensPerSecond());
    }

    void settle(
            Reservation reservation,
            OpenReservations.Entry entry,
            long usedTokens,
            long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        long unused = reservation.tokens() - usedTokens;
        if (unused < 0) {
            charge(-unused);
        } else if (unused > 0) {
            returnUnused(entry, unused);
        }
    }

    /**
     * Returns unused tokens to their source. Tokens of a former home node are dropped, as a new
     * home node counts none of its grants.
     */
    private void returnUnused(OpenReservations.Entry entry, long unused) {
        TokenPool.Origin origin = entry.origin();
        boolean isUnreported =
                entry.requestNumber() == mHomeSession.requestNumber() && !mReport.isPending();
        if (origin.fencing() == TokenPool.Origin.FLOOR) {
            mFloor.refund(origin.stamp(), unused);
        } else if (origin.fencing() == mHomeSession.fencing() && isUnreported) {
            // The home node still counts the tokens as held by this node, until the next request,
            // which also starts the next batch.
            mReport.addReturned(unused);
        } else if (origin.fencing() == mHomeSession.fencing()) {
            mReport.addUnused(origin.stamp(), unused);
        }
    }

    void setHomeNode(NodeName home, long fencing, long nowMilliseconds) {
        if (mHomeSession.setHomeNode(home, fencing)) {
            mReport.clear(mFloor, nowMilliseconds);
            mUnreportedReservations.clear();
            requestForWaiting(nowMilliseconds);
        }
    }

    void receive(NodeName sender, GrantAnswer answer, long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        if (!mHomeSession.acceptAnswer(sender, answer)) {
            return;
        }
        mUnreportedReservations.requestAnswered(answer.getNumber(), answer.getReportStamp());
        mReport.acknowledge(
                answer.getTakenBatch(), mFloor, nowMilliseconds, answer.getLendAfterMs());
        if (answer.getGrantedTokens() > 0) {
            mBackoffMilliseconds = MINIMUM_BACKOFF_MILLISECONDS;
            addGrant(answer, nowMilliseconds);
            boolean coversQueue = answer.getGrantedTokens() >= mQueue.tokens();
            // A partial grant means that the home node has few tokens left.
            if ((coversQueue || isPrefetching())
                    && answer.getGrantedTokens() < mHomeSession.wantedTokens()) {
                mHomeSession.backOff(nowMilliseconds + PARTIAL_GRANT_BACKOFF_MILLISECONDS, 1);
            }
        } else if (mHomeSession.wantedTokens() > 0) {
            backOff(answer.getRetryAfterMs(), nowMilliseconds);
        }
        serveWaiting(nowMilliseconds);
        answerRecall(nowMilliseconds);
    }

    /** Returns spare tokens to the home node, at once or when the pending request has ended. */
    void receiveRecall(long fencing, long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        if (fencing == mHomeSession.fencing()) {
            mIsRecallUnanswered = true;
            answerRecall(nowMilliseconds);
        }
    }

    void tick(long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        mReservedRate.update(nowMilliseconds);
        mGrantedRate.update(nowMilliseconds);
        mHomeSession.timeOutRequest(nowMilliseconds);
        long idleBefore = nowMilliseconds - mSettings.grantLifetimeMilliseconds() / 2;
        returnUnspent(idleBefore, prefetchTargetTokens());
        answerRecall(nowMilliseconds);
        serveWaiting(nowMilliseconds);
        boolean worthReporting = mReport.hasTokens() || mFloor.isLendingWorthwhile(nowMilliseconds);
        if (worthReporting
                && nowMilliseconds - mHomeSession.sentMilliseconds()
                        >= REPORT_INTERVAL_MILLISECONDS) {
            requestIfAllowed(1, 0, wantedTokens(), nowMilliseconds);
        }
        requestWhenLow(nowMilliseconds);
    }

    /**
     * Refuses all reservations until a limit is set again. Granted tokens and the floor's level are
     * kept, so that removing and adding an account does not refill it.
     */
    void removeLimit() {
        mHasLimit = false;
        while (!mQueue.isEmpty()) {
            mQueue.removeFirst().decision().accept(new Admission.UnknownAccount());
        }
    }

    private void expireAndRefill(long nowMilliseconds) {
        mPool.expire(nowMilliseconds);
        mFloor.refill(nowMilliseconds);
    }

    private boolean grantFromPool(long tokens, Consumer<Admission> decision) {
        Optional<TokenPool.Origin> origin = mPool.tryAcquire(tokens);
        origin.ifPresent(taken -> grant(tokens, taken, decision));
        return origin.isPresent();
    }

    private void grant(long tokens, TokenPool.Origin origin, Consumer<Admission> decision) {
        mGrantedRate.add(tokens);
        Reservation reservation =
                mReservations.open(mAccount, tokens, origin, mHomeSession.requestNumber());
        if (origin.fencing() == mHomeSession.fencing()) {
            mUnreportedReservations.add(reservation.id(), mHomeSession.requestNumber());
        }
        decision.accept(new Admission.Granted(reservation));
    }

    private boolean grantFromFloor(long tokens, Consumer<Admission> decision) {
        if (!mFloor.tryAcquire(tokens)) {
            return false;
        }
        long stamp = mFloor.stamp();
        grant(tokens, new TokenPool.Origin(TokenPool.Origin.FLOOR, stamp), decision);
        return true;
    }

    private void grantFromFloorOrRefuse(
            long tokens, Consumer<Admission> decision, long nowMilliseconds) {
        if (grantFromFloor(tokens, decision)) {
            return;
        }
        long retryAfter =
                Math.max(
                        MINIMUM_BACKOFF_MILLISECONDS,
                        mHomeSession.backoffUntilMilliseconds() - nowMilliseconds);
        decision.accept(new Admission.Refused(Duration.ofMillis(retryAfter)));
    }

    private void serveWaiting(long nowMilliseconds) {
        boolean served = true;
        while (served && !mQueue.isEmpty()) {
            WaitingReservation first = mQueue.first();
            served = grantFromPool(first.tokens(), first.decision());
            if (!served && waitsWithoutHome()) {
                served = grantFromFloor(first.tokens(), first.decision());
            }
            if (!served && mustDecideNow(first, nowMilliseconds)) {
                grantFromFloorOrRefuse(first.tokens(), first.decision(), nowMilliseconds);
                served = true;
            }
            if (served) {
                mQueue.removeFirst();
            }
        }
        requestForWaiting(nowMilliseconds);
    }

    /** Returns whether waiting longer can't serve a reservation in time. */
    private boolean mustDecideNow(WaitingReservation waiting, long nowMilliseconds) {
        boolean isPastDeadline = nowMilliseconds >= waiting.deadlineMilliseconds();
        if (isPastDeadline || waitsWithoutHome()) {
            // Until the deadline the floor may refill enough tokens.
            return isPastDeadline;
        }
        return !mHomeSession.isHomeResponsive()
                || isBackingOffBeyond(
                        waiting.tokens(), waiting.deadlineMilliseconds(), nowMilliseconds);
    }

    private boolean isBackingOffBeyond(
            long tokens, long deadlineMilliseconds, long nowMilliseconds) {
        return mHomeSession.isBackingOff(tokens, nowMilliseconds)
                && mHomeSession.backoffUntilMilliseconds() > deadlineMilliseconds;
    }

    private void requestForWaiting(long nowMilliseconds) {
        if (!mQueue.isEmpty()) {
            long first = mQueue.first().tokens();
            requestIfAllowed(first, first - mPool.tokens(), wantedTokens(), nowMilliseconds);
        }
    }

    private void requestWhenLow(long nowMilliseconds) {
        if (mPool.tokens() < prefetchTargetTokens() / LOW_LEVEL_DIVISOR) {
            requestIfAllowed(1, 1, wantedTokens(), nowMilliseconds);
        }
    }

    /**
     * Sends a grant request unless one is pending or the backoff applies.
     *
     * @param reservationTokens tokens of the reservation to serve, to which the backoff is
     *     compared; 1 without a reservation
     * @param minimumTokens fewest tokens that are of use
     * @param wantedTokens tokens to ask for
     */
    private void requestIfAllowed(
            long reservationTokens, long minimumTokens, long wantedTokens, long nowMilliseconds) {
        if (mHomeSession.mayRequest(reservationTokens, nowMilliseconds)) {
            sendRequest(minimumTokens, wantedTokens, nowMilliseconds);
        }
    }

    private void sendRequest(long minimumTokens, long wantedTokens, long nowMilliseconds) {
        GrantRequest.Builder request = mHomeSession.startRequest(nowMilliseconds);
        mReport.addTo(request, mFloor, nowMilliseconds);
        mHomeSession.setWantedTokens(wantedTokens);
        request.setHeldTokens(mPool.tokensUnder(mHomeSession.fencing()))
                .setMinimumTokens(Math.max(0, minimumTokens))
                .setWantedTokens(Math.max(0, wantedTokens));
        mOutbox.send(
                mHomeSession.home(), LimitsMessage.newBuilder().setGrantRequest(request).build());
    }

    /**
     * Returns whether nodes hold tokens ahead of requests. The home node then has few left, so a
     * lack of tokens applies to requests of any size.
     */
    private boolean isPrefetching() {
        return mSettings.prefetchMilliseconds() > 0;
    }

    /** Returns the tokens to hold in the pool ahead of requests. */
    private long prefetchTargetTokens() {
        return mReservedRate.tokensPerSecond()
                * mSettings.prefetchMilliseconds()
                / MILLISECONDS_PER_SECOND;
    }

    private long wantedTokens() {
        return mQueue.tokens() + prefetchTargetTokens() + mDebtTokens - mPool.tokens();
    }

    private void addGrant(GrantAnswer answer, long nowMilliseconds) {
        long debtPaid = Math.min(mDebtTokens, answer.getGrantedTokens());
        mDebtTokens -= debtPaid;
        long expiry = mHomeSession.sentMilliseconds() + mSettings.grantLifetimeMilliseconds();
        TokenPool.Origin origin = new TokenPool.Origin(answer.getFencing(), answer.getStamp());
        if (answer.getGrantedTokens() > debtPaid) {
            mPool.add(origin, answer.getGrantedTokens() - debtPaid, nowMilliseconds, expiry);
        }
        mPool.expire(nowMilliseconds);
    }

    private void backOff(long retryAfterMilliseconds, long nowMilliseconds) {
        long retryAfter = Math.max(mBackoffMilliseconds, retryAfterMilliseconds);
        boolean appliesToAll = mQueue.isEmpty() || isPrefetching();
        long refusedTokens = appliesToAll ? 1 : mQueue.first().tokens();
        mHomeSession.backOff(
                nowMilliseconds + Math.min(MAXIMUM_BACKOFF_MILLISECONDS, retryAfter),
                refusedTokens);
        mBackoffMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, 2 * mBackoffMilliseconds);
    }

    private void answerRecall(long nowMilliseconds) {
        if (!mIsRecallUnanswered || mHomeSession.isRequestPending()) {
            return;
        }
        mIsRecallUnanswered = false;
        returnUnspent(nowMilliseconds + 1, prefetchTargetTokens() / LOW_LEVEL_DIVISOR);
        if (mReport.hasTokens() || mFloor.canLend(nowMilliseconds)) {
            sendRequest(0, 0, nowMilliseconds);
        }
    }

    /**
     * Moves idle grants from the pool to the next batch while the pool holds more than a number of
     * tokens. Does nothing while a batch is pending.
     */
    private void returnUnspent(long receivedBeforeMilliseconds, long keptTokens) {
        boolean mayReturn = !mReport.isPending();
        while (mayReturn && mPool.tokens() > keptTokens) {
            Optional<TokenPool.Grant> idleGrant =
                    mPool.removeIdle(mHomeSession.fencing(), receivedBeforeMilliseconds);
            idleGrant.ifPresent(removed -> mReport.addReturned(removed.tokens()));
            mayReturn = idleGrant.isPresent();
        }
    }

    /**
     * Charges tokens used beyond a reservation to the pool and the floor; the rest becomes debt.
     */
    private void charge(long tokens) {
        long takenFromPool = Math.min(tokens, mPool.tokens());
        if (takenFromPool > 0) {
            mPool.tryAcquire(takenFromPool);
        }
        mDebtTokens += tokens - takenFromPool - mFloor.acquireUpTo(tokens - takenFromPool);
    }
}
