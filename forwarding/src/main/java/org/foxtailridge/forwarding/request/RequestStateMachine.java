package org.foxtailridge.forwarding.request;

import java.time.Clock;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.AttemptOutcome;

/**
 * The life of one request: tokens, queue, attempts, answer.
 *
 * <p>Every request ends in exactly one of: a whole answer of an endpoint, a failure of this node
 * that says truly whether it ran, or a connection that is cut. Events that come after the end have
 * no effect. Confined to one thread.
 *
 * <pre>{@code
 * RequestLife life = new RequestLife(terms, retries, clock, outbox, log);
 * life.start();                        // leads to outbox.reserve() or outbox.submit(...)
 * life.tokensGranted();                // leads to outbox.submit(...)
 * life.dispatched(endpoint, false);    // leads to outbox.send(endpoint)
 * life.answerPassed();                 // a part of the answer has reached the caller
 * life.answerComplete();
 * }</pre>
 */
public final class RequestStateMachine {
    private final ResolvedRequest mTerms;
    private final RetryBudget mRetries;
    private final Clock mClock;
    private final RequestOutbox mOutbox;
    private final RequestListener mLog;
    private final Set<EndpointName> mSentTo = new HashSet<>();
    private final Set<EndpointName> mExcluded = new HashSet<>();
    private RequestPhase mPhase = RequestPhase.NEW;
    private EndpointName mEndpoint;
    private boolean mReserved;
    private boolean mMayHaveRun;
    private boolean mKeptAnswer;
    private boolean mPassed;
    private int mUnpreparedTries;

    /** Creates the life of a request that has come whole. */
    public RequestStateMachine(
            ResolvedRequest terms,
            RetryBudget retries,
            Clock clock,
            RequestOutbox outbox,
            RequestListener log) {
        mTerms = Objects.requireNonNull(terms, "terms");
        mRetries = Objects.requireNonNull(retries, "retries");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mLog = Objects.requireNonNull(log, "log");
    }

    /** Begins. */
    public void start() {
        if (mTerms.countedTokens() > 0) {
            enter(RequestPhase.RESERVING);
            mOutbox.reserve();
        } else {
            queue();
        }
    }

    /** The client account has the tokens, which are set aside. */
    public void tokensGranted() {
        mReserved = true;
        if (mPhase == RequestPhase.RESERVING) {
            queue();
        } else {
            settle();
        }
    }

    /** The client account does not have the tokens. */
    public void tokensRefused(ErrorKind kind, long retryAfterMilliseconds) {
        if (mPhase == RequestPhase.RESERVING) {
            finish(kind, retryAfterMilliseconds);
        }
    }

    /** The queue has given the request up. */
    public void refused(ErrorKind kind, long retryAfterMilliseconds) {
        if (mPhase == RequestPhase.QUEUED) {
            finish(kind, retryAfterMilliseconds);
        }
    }

    /**
     * The queue has chosen an endpoint.
     *
     * @param endpoint the endpoint
     * @param unprepared whether it has to load the adapter first
     */
    public void dispatched(EndpointName endpoint, boolean unprepared) {
        if (mPhase != RequestPhase.QUEUED) {
            return;
        }
        mEndpoint = endpoint;
        if (unprepared) {
            enter(RequestPhase.PREPARING);
            mOutbox.prepare(endpoint);
        } else {
            send();
        }
    }

    /** The endpoint has the adapter. */
    public void prepared() {
        if (mPhase == RequestPhase.PREPARING) {
            send();
        }
    }

    /** A part of the answer has reached the caller. */
    public void answerPassed() {
        if (mPhase == RequestPhase.SENT) {
            enter(RequestPhase.ANSWERING);
            mPassed = true;
        }
    }

    /** The whole answer has come. */
    public void answerComplete() {
        if (mPhase != RequestPhase.SENT && mPhase != RequestPhase.ANSWERING) {
            return;
        }
        mMayHaveRun = true;
        mOutbox.endAttempt(AttemptOutcome.FINISHED);
        mLog.answered(mTerms, mEndpoint);
        end();
    }

    /**
     * The attempt under way has failed.
     *
     * @param failure how
     * @param keptAnswer whether the endpoint's answer is kept to be passed on if nothing better
     *     comes
     */
    public void attemptFailed(AttemptFailure failure, boolean keptAnswer) {
        if (!isUnderWay()) {
            return;
        }
        mMayHaveRun |= failure.mayHaveRun();
        mKeptAnswer |= keptAnswer;
        mOutbox.endAttempt(endOf(failure));
        boolean again = mayTryAgain(failure);
        mLog.attemptFailed(mTerms, mEndpoint, failure, again);
        if (again) {
            mExcluded.add(mEndpoint);
            queue();
        } else {
            finish(kindAfter(failure), 0);
        }
    }

    /** The time of the request is over. */
    public void timeIsOver() {
        if (mPhase == RequestPhase.ENDED) {
            return;
        }
        mMayHaveRun |= isSent();
        if (isUnderWay()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
        }
        boolean begun = mMayHaveRun;
        finish(begun ? ErrorKind.ANSWER_TIMEOUT : ErrorKind.DEADLINE_UNREACHABLE, 0);
    }

    /** The key of the caller was withdrawn. */
    public void keyWithdrawn() {
        if (mPhase == RequestPhase.ENDED) {
            return;
        }
        boolean begun = mMayHaveRun || isSent();
        if (isUnderWay()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
        }
        mMayHaveRun = begun;
        mKeptAnswer = false;
        finish(begun ? ErrorKind.KEY_WITHDRAWN : ErrorKind.KEY_REFUSED, 0);
    }

    /** The caller has closed its connection. */
    public void callerLeft() {
        if (mPhase == RequestPhase.ENDED) {
            return;
        }
        mMayHaveRun |= isSent();
        if (mPhase == RequestPhase.QUEUED) {
            mOutbox.withdraw();
        }
        if (isUnderWay()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
        }
        mLog.callerLeft(mTerms, mPhase);
        end();
    }

    /** Returns the phase. */
    public RequestPhase phase() {
        return mPhase;
    }

    /** Returns the terms. */
    public ResolvedRequest terms() {
        return mTerms;
    }

    /** Returns the endpoint of the attempt under way, or of the last one; null before the first. */
    public EndpointName endpoint() {
        return mEndpoint;
    }

    /** Returns whether an attempt that fails now could be followed by another one. */
    public boolean couldTryAgain() {
        return (mTerms.route().isRepeatable() || !isSent()) && hasEndpointLeft() && hasTime();
    }

    private void queue() {
        enter(RequestPhase.QUEUED);
        mOutbox.submit(Set.copyOf(mExcluded), mMayHaveRun);
    }

    private void send() {
        enter(RequestPhase.SENT);
        mSentTo.add(mEndpoint);
        mLog.sent(mTerms, mEndpoint, mSentTo.size());
        mOutbox.send(mEndpoint);
    }

    private boolean isSent() {
        return mPhase == RequestPhase.SENT || mPhase == RequestPhase.ANSWERING;
    }

    private boolean isUnderWay() {
        return isSent() || mPhase == RequestPhase.PREPARING;
    }

    private boolean mayTryAgain(AttemptFailure failure) {
        boolean harmless = mTerms.route().isRepeatable() || (!failure.mayHaveRun() && !mMayHaveRun);
        boolean continues =
                !mPassed || (mTerms.route().resumable() && failure != AttemptFailure.FAILED_ANSWER);
        if (!harmless || !continues || !hasTime() || !hasEndpointLeft(failure)) {
            return false;
        }
        boolean reached =
                failure != AttemptFailure.NOT_SENT && failure != AttemptFailure.NOT_PREPARED;
        return !reached || mRetries.take(mTerms.service());
    }

    private boolean hasEndpointLeft(AttemptFailure failure) {
        if (failure == AttemptFailure.NOT_SENT) {
            mSentTo.remove(mEndpoint);
        }
        if (failure == AttemptFailure.NOT_PREPARED) {
            mUnpreparedTries++;
        }
        return hasEndpointLeft();
    }

    private boolean hasEndpointLeft() {
        int most = mTerms.route().maximumEndpoints();
        return mSentTo.size() < most && mUnpreparedTries <= most;
    }

    private boolean hasTime() {
        long left = mTerms.deadlineMilliseconds() - mClock.millis();
        return left > RequestTiming.LEAST_FOR_ATTEMPT_MILLISECONDS;
    }

    private ErrorKind kindAfter(AttemptFailure failure) {
        return switch (failure) {
            case NOT_SENT, NOT_RUN, NOT_PREPARED -> ErrorKind.NO_ENDPOINT;
            case FULL -> ErrorKind.OVERLOADED;
            case FAILED_ANSWER, BROKEN -> ErrorKind.ENDPOINT_FAILED;
            case SILENT -> ErrorKind.ANSWER_TIMEOUT;
        };
    }

    private static AttemptOutcome endOf(AttemptFailure failure) {
        return switch (failure) {
            case NOT_SENT -> AttemptOutcome.UNREACHABLE;
            case NOT_RUN, FULL -> AttemptOutcome.NOT_STARTED;
            case NOT_PREPARED -> AttemptOutcome.CANCELLED;
            case FAILED_ANSWER, BROKEN, SILENT -> AttemptOutcome.FAILED;
        };
    }

    private void finish(ErrorKind kind, long retryAfterMilliseconds) {
        if (mPhase == RequestPhase.QUEUED) {
            mOutbox.withdraw();
        }
        ErrorKind truthful = mMayHaveRun && isNotRunKind(kind) ? ErrorKind.ENDPOINT_FAILED : kind;
        mLog.failed(mTerms, mPhase, truthful, mMayHaveRun, mKeptAnswer);
        if (mPassed) {
            mOutbox.abort();
        } else if (mKeptAnswer) {
            mOutbox.passKeptAnswer();
        } else {
            mOutbox.fail(truthful, retryAfterMilliseconds);
        }
        end();
    }

    private static boolean isNotRunKind(ErrorKind kind) {
        return kind != ErrorKind.ENDPOINT_FAILED
                && kind != ErrorKind.ANSWER_TIMEOUT
                && kind != ErrorKind.KEY_WITHDRAWN;
    }

    private void end() {
        enter(RequestPhase.ENDED);
        settle();
        mOutbox.ended();
    }

    private void settle() {
        if (mReserved) {
            mReserved = false;
            mOutbox.settle(mMayHaveRun);
        }
    }

    private void enter(RequestPhase next) {
        if (!mPhase.next().contains(next)) {
            throw new IllegalStateException(
                    "expected one of " + mPhase.next() + " after " + mPhase + " but was " + next);
        }
        mPhase = next;
    }
}
