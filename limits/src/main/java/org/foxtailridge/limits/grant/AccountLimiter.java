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
    private final Floor mFloor;
    private final HomeLink mLink;
    private final UnusedBatch mUnused = new UnusedBatch();
    private final UnreportedSpending mUnreported;
    private final DemandMeter mDemand;
    private final DemandMeter mGranted;
    private final TokenQueue mWaiting = new TokenQueue();
    private LimitParts mParts;
    private long mDebtTokens;
    private long mPauseMilliseconds = LEAST_PAUSE_MILLISECONDS;
    private boolean mListed = true;
    private boolean mRecalled;

    AccountLimiter(
            LimiterSettings settings,
            GrantRules rules,
            ClientAccountName account,
            LimitParts parts,
            long floorFromMilliseconds,
            long nowMilliseconds,
            OpenReservations reservations,
            LimiterOutbox outbox) {
        mSettings = settings;
        mAccount = account;
        mParts = parts;
        mOutbox = outbox;
        mReservations = reservations;
        mUnreported = new UnreportedSpending(reservations);
        mPool = new TokenPool(rules);
        mFloor = new Floor(parts, floorFromMilliseconds, nowMilliseconds);
        mLink = new HomeLink(settings, account);
        mDemand = new DemandMeter(nowMilliseconds);
        mGranted = new DemandMeter(nowMilliseconds);
    }

    void change(LimitParts parts, long nowMilliseconds) {
        mListed = true;
        mParts = parts;
        mFloor.change(parts, nowMilliseconds);
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
        advance(nowMilliseconds);
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
            askWhenLow(nowMilliseconds);
        } else if (mLink.isPaused(tokens, nowMilliseconds) && grantFromFloor(tokens, decision)) {
            askWhenLow(nowMilliseconds);
        } else if (!mLink.isHopeful() || isPausedBeyond(tokens, deadline, nowMilliseconds)) {
            decideFromFloor(tokens, decision, nowMilliseconds);
        } else {
            WaitingReservation waiting = new WaitingReservation(tokens, deadline, decision);
            mWaiting.add(waiting, false, nowMilliseconds);
            askForWaiting(nowMilliseconds);
        }
    }

    private boolean waitsWithoutHome() {
        return !mLink.isHopeful() && mSettings.waitWithoutHomeMilliseconds() > 0;
    }

    /** Lets a reservation wait if its tokens are likely to come in time. */
    private void reserveWithoutHome(
            long tokens,
            long patienceMilliseconds,
            Consumer<Admission> decision,
            long nowMilliseconds) {
        boolean isNext = mWaiting.maySkip(tokens);
        if (isNext && (grantFromFloor(tokens, decision) || grantFromPool(tokens, decision))) {
            return;
        }
        long longest = mSettings.waitWithoutHomeMilliseconds();
        long allowed = mWaiting.allowedMilliseconds(longest, nowMilliseconds);
        long expected = mWaiting.expectedMilliseconds(tokens, likelyTokensPerSecond());
        long most = Math.min(patienceMilliseconds, allowed);
        if (expected > most) {
            long pause = Math.max(1, Math.min(MOST_PAUSE_MILLISECONDS, expected));
            decision.accept(new Admission.Refused(Duration.ofMillis(pause)));
            return;
        }
        WaitingReservation waiting =
                new WaitingReservation(tokens, nowMilliseconds + most, decision);
        mWaiting.add(waiting, isNext, nowMilliseconds);
        askForWaiting(nowMilliseconds);
    }

    /** Returns what this node is likely to get: what it got of late, or an equal share at least. */
    private long likelyTokensPerSecond() {
        return Math.max(mGranted.tokensPerSecond(), mParts.fairTokensPerSecond());
    }

    void settle(
            Reservation reservation,
            OpenReservations.Spent spent,
            long usedTokens,
            long nowMilliseconds) {
        advance(nowMilliseconds);
        long unused = reservation.tokens() - usedTokens;
        if (unused < 0) {
            charge(-unused);
        } else if (unused > 0) {
            giveBack(spent, unused);
        }
    }

    private void giveBack(OpenReservations.Spent spent, long unused) {
        TokenPool.Origin origin = spent.origin();
        boolean unreported = spent.number() == mLink.number() && !mUnused.isUnderWay();
        if (origin.fencing() == TokenPool.Origin.FLOOR) {
            mFloor.giveBack(origin.stamp(), unused);
        } else if (origin.fencing() == mLink.fencing() && unreported) {
            mUnused.collectReturned(unused);
        } else if (origin.fencing() == mLink.fencing()) {
            mUnused.collect(origin.stamp(), unused);
        }
    }

    void homeIs(NodeName home, long fencing, long nowMilliseconds) {
        if (mLink.homeIs(home, fencing)) {
            mUnused.forget(mFloor, nowMilliseconds);
            mUnreported.forget();
            askForWaiting(nowMilliseconds);
        }
    }

    void receive(NodeName sender, GrantAnswer answer, long nowMilliseconds) {
        advance(nowMilliseconds);
        if (!mLink.accept(sender, answer)) {
            return;
        }
        mUnreported.answered(answer.getNumber(), answer.getReportStamp());
        mUnused.taken(answer.getTakenBatch(), mFloor, nowMilliseconds, answer.getLendAfterMs());
        if (answer.getGrantedTokens() > 0) {
            mPauseMilliseconds = LEAST_PAUSE_MILLISECONDS;
            addGrant(answer, nowMilliseconds);
            boolean ahead = answer.getGrantedTokens() >= mWaiting.tokens();
            if ((ahead || holdsAhead()) && answer.getGrantedTokens() < mLink.wantedTokens()) {
                mLink.pause(nowMilliseconds + SCARCE_PAUSE_MILLISECONDS, 1);
            }
        } else if (mLink.wantedTokens() > 0) {
            pause(answer.getRetryAfterMs(), nowMilliseconds);
        }
        serveWaiting(nowMilliseconds);
        sendRecalled(nowMilliseconds);
    }

    /** Sends back what this node can spare, at once or after the request under way has ended. */
    void recalled(long fencing, long nowMilliseconds) {
        advance(nowMilliseconds);
        if (fencing == mLink.fencing()) {
            mRecalled = true;
            sendRecalled(nowMilliseconds);
        }
    }

    void tick(long nowMilliseconds) {
        advance(nowMilliseconds);
        mDemand.advance(nowMilliseconds);
        mGranted.advance(nowMilliseconds);
        mLink.giveUp(nowMilliseconds);
        long idleSince = nowMilliseconds - mSettings.grantMilliseconds() / 2;
        collectUnspent(idleSince, target());
        sendRecalled(nowMilliseconds);
        serveWaiting(nowMilliseconds);
        boolean worthReporting = mUnused.hasCollected() || mFloor.hasToLend(nowMilliseconds);
        if (worthReporting && nowMilliseconds - mLink.sentMilliseconds() >= REPORT_MILLISECONDS) {
            ask(1, 0, wanted(), nowMilliseconds);
        }
        askWhenLow(nowMilliseconds);
    }

    /** Refuses all requests until the limit is changed; what was handed out stays counted. */
    void remove() {
        mListed = false;
        while (!mWaiting.isEmpty()) {
            mWaiting.removeFirst().decision().accept(new Admission.UnknownAccount());
        }
    }

    private void advance(long nowMilliseconds) {
        mPool.expire(nowMilliseconds);
        mFloor.advance(nowMilliseconds);
    }

    private boolean grantFromPool(long tokens, Consumer<Admission> decision) {
        Optional<TokenPool.Origin> origin = mPool.take(tokens);
        origin.ifPresent(taken -> grant(tokens, taken, decision));
        return origin.isPresent();
    }

    private void grant(long tokens, TokenPool.Origin origin, Consumer<Admission> decision) {
        mGranted.add(tokens);
        Reservation reservation = mReservations.open(mAccount, tokens, origin, mLink.number());
        if (origin.fencing() == mLink.fencing()) {
            mUnreported.add(reservation.id(), mLink.number());
        }
        decision.accept(new Admission.Granted(reservation));
    }

    private boolean grantFromFloor(long tokens, Consumer<Admission> decision) {
        if (!mFloor.take(tokens)) {
            return false;
        }
        long stamp = mFloor.stamp();
        grant(tokens, new TokenPool.Origin(TokenPool.Origin.FLOOR, stamp), decision);
        return true;
    }

    private void decideFromFloor(long tokens, Consumer<Admission> decision, long nowMilliseconds) {
        if (grantFromFloor(tokens, decision)) {
            return;
        }
        long pause = Math.max(LEAST_PAUSE_MILLISECONDS, mLink.pausedUntil() - nowMilliseconds);
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
            if (!served && isHopeless(first, nowMilliseconds)) {
                decideFromFloor(first.tokens(), first.decision(), nowMilliseconds);
                served = true;
            }
            if (served) {
                mWaiting.removeFirst();
            }
        }
        askForWaiting(nowMilliseconds);
    }

    private boolean isHopeless(WaitingReservation waiting, long nowMilliseconds) {
        boolean late = nowMilliseconds >= waiting.deadlineMilliseconds();
        if (late || waitsWithoutHome()) {
            // The floor may still have the tokens in time.
            return late;
        }
        return !mLink.isHopeful()
                || isPausedBeyond(
                        waiting.tokens(), waiting.deadlineMilliseconds(), nowMilliseconds);
    }

    private boolean isPausedBeyond(long tokens, long deadline, long nowMilliseconds) {
        return mLink.isPaused(tokens, nowMilliseconds) && mLink.pausedUntil() > deadline;
    }

    private void askForWaiting(long nowMilliseconds) {
        if (!mWaiting.isEmpty()) {
            long first = mWaiting.first().tokens();
            ask(first, first - mPool.tokens(), wanted(), nowMilliseconds);
        }
    }

    private void askWhenLow(long nowMilliseconds) {
        if (mPool.tokens() < target() / LOW_DIVISOR) {
            ask(1, 1, wanted(), nowMilliseconds);
        }
    }

    /** Asks the home node, unless it has said that it has nothing for requests of this size yet. */
    private void ask(
            long requestTokens, long minimumTokens, long wantedTokens, long nowMilliseconds) {
        if (mLink.mayAsk(requestTokens, nowMilliseconds)) {
            send(minimumTokens, wantedTokens, nowMilliseconds);
        }
    }

    private void send(long minimumTokens, long wantedTokens, long nowMilliseconds) {
        GrantRequest.Builder request = mLink.request(nowMilliseconds);
        mUnused.addTo(request, mFloor, nowMilliseconds);
        mLink.wanted(wantedTokens);
        request.setHeldTokens(mPool.tokensUnder(mLink.fencing()))
                .setMinimumTokens(Math.max(0, minimumTokens))
                .setWantedTokens(Math.max(0, wantedTokens));
        mOutbox.send(mLink.home(), LimitsMessage.newBuilder().setGrantRequest(request).build());
    }

    /** Returns whether tokens are held ahead of requests, of which the home node then has few. */
    private boolean holdsAhead() {
        return mSettings.prefetchMilliseconds() > 0;
    }

    private long target() {
        return mDemand.tokensPerSecond()
                * mSettings.prefetchMilliseconds()
                / MILLISECONDS_PER_SECOND;
    }

    private long wanted() {
        return mWaiting.tokens() + target() + mDebtTokens - mPool.tokens();
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

    private void pause(long retryAfterMilliseconds, long nowMilliseconds) {
        long pause = Math.max(mPauseMilliseconds, retryAfterMilliseconds);
        boolean any = mWaiting.isEmpty() || holdsAhead();
        long refusedTokens = any ? 1 : mWaiting.first().tokens();
        mLink.pause(nowMilliseconds + Math.min(MOST_PAUSE_MILLISECONDS, pause), refusedTokens);
        mPauseMilliseconds = Math.min(MOST_PAUSE_MILLISECONDS, 2 * mPauseMilliseconds);
    }

    private void sendRecalled(long nowMilliseconds) {
        if (!mRecalled || mLink.isPending()) {
            return;
        }
        mRecalled = false;
        collectUnspent(nowMilliseconds + 1, target() / LOW_DIVISOR);
        if (mUnused.hasCollected() || mFloor.canLend(nowMilliseconds)) {
            send(0, 0, nowMilliseconds);
        }
    }

    private void collectUnspent(long grantedBeforeMilliseconds, long keepTokens) {
        boolean found = !mUnused.isUnderWay();
        while (found && mPool.tokens() > keepTokens) {
            Optional<TokenPool.Lot> unspent =
                    mPool.takeIdle(mLink.fencing(), grantedBeforeMilliseconds);
            unspent.ifPresent(lot -> mUnused.collectReturned(lot.tokens()));
            found = unspent.isPresent();
        }
    }

    private void charge(long tokens) {
        long fromPool = Math.min(tokens, mPool.tokens());
        if (fromPool > 0) {
            mPool.take(fromPool);
        }
        mDebtTokens += tokens - fromPool - mFloor.takeUpTo(tokens - fromPool);
    }
}
