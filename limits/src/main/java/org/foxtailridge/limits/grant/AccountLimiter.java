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
 * Admits the requests of one client account at one node, from granted tokens and, when the home
 * node has none or can't be reached, from the node's own floor.
 */
final class AccountLimiter {
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long LOW_DIVISOR = 4;
    private static final long REPORT_MILLISECONDS = 1_000;
    private static final long LEAST_PAUSE_MILLISECONDS = 100;
    private static final long SCARCE_PAUSE_MILLISECONDS = 200;
    private static final long MOST_PAUSE_MILLISECONDS = 1_000;

    private final LimiterSettings mSettings;
    private final ClientAccountName mAccount;
    private final LimiterOutbox mOutbox;
    private final OpenReservations mReservations;
    private final TokenPool mPool;
    private final FloorBucket mFloor;
    private final HomeSession mLink;
    private final ReportBatch mUnused = new ReportBatch();
    private final UnreportedReservations mUnreported;
    private final TokenRateMeter mDemand;
    private final TokenRateMeter mGranted;
    private final ReservationQueue mWaiting = new ReservationQueue();
    private LimitSplit mParts;
    private long mDebtTokens;
    private long mPauseMilliseconds = LEAST_PAUSE_MILLISECONDS;
    private boolean mListed = true;
    private boolean mRecalled;

    AccountLimiter(
            LimiterSettings settings,
            GrantRules rules,
            ClientAccountName account,
            LimitSplit parts,
            long floorFromMilliseconds,
            long nowMilliseconds,
            OpenReservations reservations,
            LimiterOutbox outbox) {
        mSettings = settings;
        mAccount = account;
        mParts = parts;
        mOutbox = outbox;
        mReservations = reservations;
        mUnreported = new UnreportedReservations(reservations);
        mPool = new TokenPool(rules);
        mFloor = new FloorBucket(parts, floorFromMilliseconds, nowMilliseconds);
        mLink = new HomeSession(settings, account);
        mDemand = new TokenRateMeter(nowMilliseconds);
        mGranted = new TokenRateMeter(nowMilliseconds);
    }

    void setLimit(LimitSplit parts, long nowMilliseconds) {
        mListed = true;
        mParts = parts;
        mFloor.setLimit(parts, nowMilliseconds);
    }

    void reserve(
            long tokens,
            long patienceMilliseconds,
            Consumer<Admission> decision,
            long nowMilliseconds) {
        if (!mListed) {
            decision.accept(new Admission.UnknownAccount());
            return;
        }
        if (tokens > mParts.homeCapacityTokens()) {
            decision.accept(new Admission.LargerThanBurst(mParts.homeCapacityTokens()));
            return;
        }
        if (mReservations.isFull() || mWaiting.size() >= mSettings.maximumWaiting()) {
            decision.accept(new Admission.Overloaded());
            return;
        }
        expireAndRefill(nowMilliseconds);
        mDemand.add(tokens);
        if (waitsWithoutHome()) {
            reserveWithoutHome(tokens, patienceMilliseconds, decision, nowMilliseconds);
            return;
        }
        long longest = Math.min(patienceMilliseconds, mSettings.longestWaitMilliseconds());
        long deadline = nowMilliseconds + longest;
        if (mSettings.floorFirst() && mWaiting.isEmpty() && grantFromFloor(tokens, decision)) {
            return;
        }
        if (mWaiting.isEmpty() && grantFromPool(tokens, decision)) {
            requestWhenLow(nowMilliseconds);
        } else if (mLink.isBackingOff(tokens, nowMilliseconds)
                && grantFromFloor(tokens, decision)) {
            requestWhenLow(nowMilliseconds);
        } else if (!mLink.isHomeReachable()
                || isBackingOffBeyond(tokens, deadline, nowMilliseconds)) {
            grantFromFloorOrRefuse(tokens, decision, nowMilliseconds);
        } else {
            WaitingReservation waiting = new WaitingReservation(tokens, deadline, decision);
            mWaiting.add(waiting, false, nowMilliseconds);
            requestForWaiting(nowMilliseconds);
        }
    }

    private boolean waitsWithoutHome() {
        return !mLink.isHomeReachable() && mSettings.waitWithoutHomeMilliseconds() > 0;
    }

    /** Lets a reservation wait if its tokens are likely to come in time. */
    private void reserveWithoutHome(
            long tokens,
            long patienceMilliseconds,
            Consumer<Admission> decision,
            long nowMilliseconds) {
        boolean isNext = mWaiting.mayOvertake(tokens);
        if (isNext && (grantFromFloor(tokens, decision) || grantFromPool(tokens, decision))) {
            return;
        }
        long longest = mSettings.waitWithoutHomeMilliseconds();
        long allowed = mWaiting.allowedWaitMilliseconds(longest, nowMilliseconds);
        long expected = mWaiting.expectedWaitMilliseconds(tokens, expectedTokensPerSecond());
        long most = Math.min(patienceMilliseconds, allowed);
        if (expected > most) {
            long pause = Math.max(1, Math.min(MOST_PAUSE_MILLISECONDS, expected));
            decision.accept(new Admission.Refused(Duration.ofMillis(pause)));
            return;
        }
        WaitingReservation waiting =
                new WaitingReservation(tokens, nowMilliseconds + most, decision);
        mWaiting.add(waiting, isNext, nowMilliseconds);
        requestForWaiting(nowMilliseconds);
    }

    /** Returns what this node is likely to get: what it got of late, or an equal share at least. */
    private long expectedTokensPerSecond() {
        return Math.max(mGranted.tokensPerSecond(), mParts.equalShareTokensPerSecond());
    }

    void settle(
            Reservation reservation,
            OpenReservations.Entry spent,
            long usedTokens,
            long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        long unused = reservation.tokens() - usedTokens;
        if (unused < 0) {
            charge(-unused);
        } else if (unused > 0) {
            returnUnused(spent, unused);
        }
    }

    private void returnUnused(OpenReservations.Entry spent, long unused) {
        TokenPool.Origin origin = spent.origin();
        boolean unreported = spent.requestNumber() == mLink.requestNumber() && !mUnused.isPending();
        if (origin.fencing() == TokenPool.Origin.FLOOR) {
            mFloor.refund(origin.stamp(), unused);
        } else if (origin.fencing() == mLink.fencing() && unreported) {
            mUnused.addReturned(unused);
        } else if (origin.fencing() == mLink.fencing()) {
            mUnused.addUnused(origin.stamp(), unused);
        }
    }

    void setHomeNode(NodeName home, long fencing, long nowMilliseconds) {
        if (mLink.setHomeNode(home, fencing)) {
            mUnused.clear(mFloor, nowMilliseconds);
            mUnreported.clear();
            requestForWaiting(nowMilliseconds);
        }
    }

    void receive(NodeName sender, GrantAnswer answer, long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        if (!mLink.acceptAnswer(sender, answer)) {
            return;
        }
        mUnreported.requestAnswered(answer.getNumber(), answer.getReportStamp());
        mUnused.acknowledge(
                answer.getTakenBatch(), mFloor, nowMilliseconds, answer.getLendAfterMs());
        if (answer.getGrantedTokens() > 0) {
            mPauseMilliseconds = LEAST_PAUSE_MILLISECONDS;
            addGrant(answer, nowMilliseconds);
            boolean ahead = answer.getGrantedTokens() >= mWaiting.tokens();
            if ((ahead || isPrefetching()) && answer.getGrantedTokens() < mLink.wantedTokens()) {
                mLink.backOff(nowMilliseconds + SCARCE_PAUSE_MILLISECONDS, 1);
            }
        } else if (mLink.wantedTokens() > 0) {
            backOff(answer.getRetryAfterMs(), nowMilliseconds);
        }
        serveWaiting(nowMilliseconds);
        answerRecall(nowMilliseconds);
    }

    /** Sends back what this node can spare, at once or after the request under way has ended. */
    void receiveRecall(long fencing, long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        if (fencing == mLink.fencing()) {
            mRecalled = true;
            answerRecall(nowMilliseconds);
        }
    }

    void tick(long nowMilliseconds) {
        expireAndRefill(nowMilliseconds);
        mDemand.update(nowMilliseconds);
        mGranted.update(nowMilliseconds);
        mLink.timeOutRequest(nowMilliseconds);
        long idleSince = nowMilliseconds - mSettings.grantMilliseconds() / 2;
        returnUnspent(idleSince, prefetchTargetTokens());
        answerRecall(nowMilliseconds);
        serveWaiting(nowMilliseconds);
        boolean worthReporting = mUnused.hasTokens() || mFloor.isLendingWorthwhile(nowMilliseconds);
        if (worthReporting && nowMilliseconds - mLink.sentMilliseconds() >= REPORT_MILLISECONDS) {
            requestIfAllowed(1, 0, wantedTokens(), nowMilliseconds);
        }
        requestWhenLow(nowMilliseconds);
    }

    /** Refuses all requests until the limit is changed; what was handed out stays counted. */
    void removeLimit() {
        mListed = false;
        while (!mWaiting.isEmpty()) {
            mWaiting.removeFirst().decision().accept(new Admission.UnknownAccount());
        }
    }

    private void expireAndRefill(long nowMilliseconds) {
        mPool.expire(nowMilliseconds);
        mFloor.refill(nowMilliseconds);
    }

    private boolean grantFromPool(long tokens, Consumer<Admission> decision) {
        Optional<TokenPool.Origin> origin = mPool.tryTake(tokens);
        origin.ifPresent(taken -> grant(tokens, taken, decision));
        return origin.isPresent();
    }

    private void grant(long tokens, TokenPool.Origin origin, Consumer<Admission> decision) {
        mGranted.add(tokens);
        Reservation reservation =
                mReservations.open(mAccount, tokens, origin, mLink.requestNumber());
        if (origin.fencing() == mLink.fencing()) {
            mUnreported.add(reservation.id(), mLink.requestNumber());
        }
        decision.accept(new Admission.Granted(reservation));
    }

    private boolean grantFromFloor(long tokens, Consumer<Admission> decision) {
        if (!mFloor.tryTake(tokens)) {
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
        long pause =
                Math.max(
                        LEAST_PAUSE_MILLISECONDS,
                        mLink.backoffUntilMilliseconds() - nowMilliseconds);
        decision.accept(new Admission.Refused(Duration.ofMillis(pause)));
    }

    private void serveWaiting(long nowMilliseconds) {
        boolean served = true;
        while (served && !mWaiting.isEmpty()) {
            WaitingReservation first = mWaiting.first();
            served = grantFromPool(first.tokens(), first.decision());
            if (!served && waitsWithoutHome()) {
                served = grantFromFloor(first.tokens(), first.decision());
            }
            if (!served && mustDecideNow(first, nowMilliseconds)) {
                grantFromFloorOrRefuse(first.tokens(), first.decision(), nowMilliseconds);
                served = true;
            }
            if (served) {
                mWaiting.removeFirst();
            }
        }
        requestForWaiting(nowMilliseconds);
    }

    private boolean mustDecideNow(WaitingReservation waiting, long nowMilliseconds) {
        boolean late = nowMilliseconds >= waiting.deadlineMilliseconds();
        if (late || waitsWithoutHome()) {
            // The floor may still have the tokens in time.
            return late;
        }
        return !mLink.isHomeReachable()
                || isBackingOffBeyond(
                        waiting.tokens(), waiting.deadlineMilliseconds(), nowMilliseconds);
    }

    private boolean isBackingOffBeyond(long tokens, long deadline, long nowMilliseconds) {
        return mLink.isBackingOff(tokens, nowMilliseconds)
                && mLink.backoffUntilMilliseconds() > deadline;
    }

    private void requestForWaiting(long nowMilliseconds) {
        if (!mWaiting.isEmpty()) {
            long first = mWaiting.first().tokens();
            requestIfAllowed(first, first - mPool.tokens(), wantedTokens(), nowMilliseconds);
        }
    }

    private void requestWhenLow(long nowMilliseconds) {
        if (mPool.tokens() < prefetchTargetTokens() / LOW_DIVISOR) {
            requestIfAllowed(1, 1, wantedTokens(), nowMilliseconds);
        }
    }

    /** Asks the home node, unless it has said that it has nothing for requests of this size yet. */
    private void requestIfAllowed(
            long requestTokens, long minimumTokens, long wantedTokens, long nowMilliseconds) {
        if (mLink.mayRequest(requestTokens, nowMilliseconds)) {
            sendRequest(minimumTokens, wantedTokens, nowMilliseconds);
        }
    }

    private void sendRequest(long minimumTokens, long wantedTokens, long nowMilliseconds) {
        GrantRequest.Builder request = mLink.startRequest(nowMilliseconds);
        mUnused.addTo(request, mFloor, nowMilliseconds);
        mLink.setWantedTokens(wantedTokens);
        request.setHeldTokens(mPool.tokensUnder(mLink.fencing()))
                .setMinimumTokens(Math.max(0, minimumTokens))
                .setWantedTokens(Math.max(0, wantedTokens));
        mOutbox.send(mLink.home(), LimitsMessage.newBuilder().setGrantRequest(request).build());
    }

    /** Returns whether tokens are held ahead of requests, of which the home node then has few. */
    private boolean isPrefetching() {
        return mSettings.prefetchMilliseconds() > 0;
    }

    private long prefetchTargetTokens() {
        return mDemand.tokensPerSecond()
                * mSettings.prefetchMilliseconds()
                / MILLISECONDS_PER_SECOND;
    }

    private long wantedTokens() {
        return mWaiting.tokens() + prefetchTargetTokens() + mDebtTokens - mPool.tokens();
    }

    private void addGrant(GrantAnswer answer, long nowMilliseconds) {
        long paid = Math.min(mDebtTokens, answer.getGrantedTokens());
        mDebtTokens -= paid;
        long until = mLink.sentMilliseconds() + mSettings.grantMilliseconds();
        TokenPool.Origin origin = new TokenPool.Origin(answer.getFencing(), answer.getStamp());
        if (answer.getGrantedTokens() > paid) {
            mPool.add(origin, answer.getGrantedTokens() - paid, nowMilliseconds, until);
        }
        mPool.expire(nowMilliseconds);
    }

    private void backOff(long retryAfterMilliseconds, long nowMilliseconds) {
        long pause = Math.max(mPauseMilliseconds, retryAfterMilliseconds);
        boolean any = mWaiting.isEmpty() || isPrefetching();
        long refusedTokens = any ? 1 : mWaiting.first().tokens();
        mLink.backOff(nowMilliseconds + Math.min(MOST_PAUSE_MILLISECONDS, pause), refusedTokens);
        mPauseMilliseconds = Math.min(MOST_PAUSE_MILLISECONDS, 2 * mPauseMilliseconds);
    }

    private void answerRecall(long nowMilliseconds) {
        if (!mRecalled || mLink.isRequestPending()) {
            return;
        }
        mRecalled = false;
        returnUnspent(nowMilliseconds + 1, prefetchTargetTokens() / LOW_DIVISOR);
        if (mUnused.hasTokens() || mFloor.canLend(nowMilliseconds)) {
            sendRequest(0, 0, nowMilliseconds);
        }
    }

    private void returnUnspent(long grantedBeforeMilliseconds, long keepTokens) {
        boolean found = !mUnused.isPending();
        while (found && mPool.tokens() > keepTokens) {
            Optional<TokenPool.Grant> unspent =
                    mPool.removeIdle(mLink.fencing(), grantedBeforeMilliseconds);
            unspent.ifPresent(lot -> mUnused.addReturned(lot.tokens()));
            found = unspent.isPresent();
        }
    }

    private void charge(long tokens) {
        long fromPool = Math.min(tokens, mPool.tokens());
        if (fromPool > 0) {
            mPool.tryTake(fromPool);
        }
        mDebtTokens += tokens - fromPool - mFloor.takeUpTo(tokens - fromPool);
    }
}
