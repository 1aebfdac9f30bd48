package org.foxtailridge.forwarding.request;

import java.time.Clock;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.AttemptOutcome;

/**
 * State machine of one forwarded request: token reservation, queue, attempts and answer.
 *
 * <p>Unless its caller disconnects first, every request ends in exactly one of three ways: with the
 * complete answer of an endpoint, with an error of this node that never claims "not run" for a
 * request that may have run, or with a closed connection once a part of an answer has reached the
 * caller. Events that arrive after the end have no effect, except that tokens granted late are
 * returned. Confined to one thread.
 *
 * <pre>{@code
 * RequestStateMachine request =
 *         new RequestStateMachine(
 *                 resolved, retryBudget, stopPolicy, clock, outbox, listener);
 * request.start();                        // calls outbox.reserve() or outbox.submit(...)
 * request.tokensGranted();                // calls outbox.submit(...)
 * request.dispatched(endpoint, false);    // calls outbox.send(endpoint)
 * request.answerPartForwarded(true);
 * request.answerCompleted();              // calls outbox.ended()
 * }</pre>
 */
public final class RequestStateMachine {
    private final ResolvedRequest mResolved;
    private final RetryBudget mRetryBudget;
    private final StopPolicy mStopPolicy;
    private final Clock mClock;
    private final RequestOutbox mOutbox;
    private final RequestListener mListener;
    private final Set<EndpointName> mTriedEndpoints = new HashSet<>();
    private final Set<EndpointName> mExcludedEndpoints = new HashSet<>();
    private RequestPhase mPhase = RequestPhase.NEW;
    private EndpointName mEndpoint;
    private boolean mReserved;
    private boolean mMayHaveRun;
    private boolean mHasBufferedAnswer;
    private boolean mAnswerStarted;
    private boolean mAnswerContinuable;
    private int mFailedAdapterLoads;

    /** Creates the state machine of a request whose head and body have arrived completely. */
    public RequestStateMachine(
            ResolvedRequest resolved,
            RetryBudget retryBudget,
            StopPolicy stopPolicy,
            Clock clock,
            RequestOutbox outbox,
            RequestListener listener) {
        mResolved = Objects.requireNonNull(resolved, "resolved");
        mRetryBudget = Objects.requireNonNull(retryBudget, "retryBudget");
        mStopPolicy = Objects.requireNonNull(stopPolicy, "stopPolicy");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Reserves tokens if the request counts against a limit; otherwise submits it to the queue. */
    public void start() {
        if (mResolved.countedTokens() > 0) {
            transitionTo(RequestPhase.RESERVING);
            mOutbox.reserve();
        } else {
            submitToQueue();
        }
    }

    /**
     * Handles the reservation of the tokens. Returns them at once if the request has ended
     * meanwhile.
     */
    public void tokensGranted() {
        mReserved = true;
        refuseIfLate();
        if (mPhase == RequestPhase.RESERVING) {
            submitToQueue();
        } else {
            settle();
        }
    }

    /**
     * Ends the request because the tokens were not granted.
     *
     * @param kind error to answer with
     * @param retryAfterMilliseconds time after which a retry may succeed; 0 if unknown
     */
    public void tokensRefused(ErrorKind kind, long retryAfterMilliseconds) {
        if (mPhase == RequestPhase.RESERVING) {
            finish(kind, retryAfterMilliseconds);
        }
    }

    /**
     * Ends the request because the queue refused it.
     *
     * @param kind error to answer with
     * @param retryAfterMilliseconds time after which a retry may succeed; 0 if unknown
     */
    public void refusedByQueue(ErrorKind kind, long retryAfterMilliseconds) {
        if (mPhase == RequestPhase.QUEUED) {
            finish(kind, retryAfterMilliseconds);
        }
    }

    /**
     * Sends the request to the endpoint that the queue has chosen, or loads its adapter first.
     * Refuses it if it can no longer end before the node does.
     *
     * @param endpoint the endpoint
     * @param mustLoadAdapter whether the endpoint has to load the adapter first
     */
    public void dispatched(EndpointName endpoint, boolean mustLoadAdapter) {
        if (mPhase != RequestPhase.QUEUED) {
            return;
        }
        if (!canEndInTime()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
            finish(ErrorKind.STOPPING, 0);
            return;
        }
        mEndpoint = endpoint;
        if (mustLoadAdapter) {
            transitionTo(RequestPhase.PREPARING);
            mOutbox.loadAdapter(endpoint);
        } else {
            send();
        }
    }

    /** Sends the request after the endpoint has loaded the adapter, if it can still end in time. */
    public void adapterLoaded() {
        refuseIfLate();
        if (mPhase == RequestPhase.PREPARING) {
            send();
        }
    }

    /**
     * Records that a part of the answer was forwarded to the caller.
     *
     * @param continuable whether another endpoint can continue the answer after this part
     */
    public void answerPartForwarded(boolean continuable) {
        if (!isSent()) {
            return;
        }
        if (mPhase == RequestPhase.SENT) {
            transitionTo(RequestPhase.ANSWERING);
        }
        mAnswerStarted = true;
        mAnswerContinuable = continuable;
    }

    /** Ends the request with the complete answer of the endpoint. */
    public void answerCompleted() {
        if (mPhase != RequestPhase.SENT && mPhase != RequestPhase.ANSWERING) {
            return;
        }
        mMayHaveRun = true;
        mOutbox.endAttempt(AttemptOutcome.FINISHED);
        mListener.answered(mResolved, mEndpoint);
        end();
    }

    /**
     * Retries the request or ends it after the current attempt has failed.
     *
     * @param failure why the attempt failed
     * @param hasBufferedAnswer whether the endpoint's error answer is buffered, to be forwarded if
     *     no later attempt succeeds
     */
    public void attemptFailed(AttemptFailure failure, boolean hasBufferedAnswer) {
        if (!isAttemptInProgress()) {
            return;
        }
        mMayHaveRun |= failure.mayHaveRun();
        mHasBufferedAnswer |= hasBufferedAnswer;
        mOutbox.endAttempt(attemptOutcomeFor(failure));
        boolean willRetry = shouldRetry(failure);
        mListener.attemptFailed(mResolved, mEndpoint, failure, willRetry);
        if (willRetry) {
            mExcludedEndpoints.add(mEndpoint);
            submitToQueue();
        } else {
            boolean stops = !mMayHaveRun && !canEndInTime();
            finish(stops ? ErrorKind.STOPPING : errorKindFor(failure), 0);
        }
    }

    /** Ends an attempt without an answer so far, if the request can be retried. */
    public void attemptTimedOut() {
        if (canRetry()) {
            attemptFailed(AttemptFailure.SILENT, false);
        }
    }

    /**
     * Ends the request, unless it is sent, because requests like it crash endpoints.
     *
     * @param retryAfterMilliseconds time after which a retry may succeed
     */
    public void heldBack(long retryAfterMilliseconds) {
        refuseUnlessSent(ErrorKind.NO_ENDPOINT, retryAfterMilliseconds);
    }

    /** Ends the request, unless it is sent, if it can no longer end before a stopping node does. */
    public void refuseIfLate() {
        if (!canEndInTime()) {
            refuseUnlessSent(ErrorKind.STOPPING, 0);
        }
    }

    /** Ends the request because its deadline has passed. */
    public void deadlinePassed() {
        endWithoutAnswer(ErrorKind.DEADLINE_UNREACHABLE);
    }

    /** Ends the request because the node exits; only an answer that has begun is cut. */
    public void nodeExits() {
        endWithoutAnswer(ErrorKind.STOPPING);
    }

    /** Ends the request because its API key was withdrawn; discards a buffered answer. */
    public void keyWithdrawn() {
        if (mPhase == RequestPhase.ENDED) {
            return;
        }
        boolean mayHaveRun = mMayHaveRun || isSent();
        if (isAttemptInProgress()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
        }
        mMayHaveRun = mayHaveRun;
        mHasBufferedAnswer = false;
        finish(mayHaveRun ? ErrorKind.KEY_WITHDRAWN : ErrorKind.KEY_REFUSED, 0);
    }

    /** Ends the request because the caller has disconnected. */
    public void callerLeft() {
        if (mPhase == RequestPhase.ENDED) {
            return;
        }
        mMayHaveRun |= isSent();
        if (mPhase == RequestPhase.QUEUED) {
            mOutbox.withdraw();
        }
        if (isAttemptInProgress()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
        }
        mListener.callerLeft(mResolved, mPhase);
        end();
    }

    public RequestPhase phase() {
        return mPhase;
    }

    public ResolvedRequest resolved() {
        return mResolved;
    }

    /** Returns the endpoint of the current or last attempt; null before the first attempt. */
    public EndpointName endpoint() {
        return mEndpoint;
    }

    /** Returns whether another attempt could follow if the current one failed now. */
    public boolean canRetry() {
        return (mResolved.route().isRepeatable() || !isSent()) && hasEndpointLeft() && hasTime();
    }

    private void refuseUnlessSent(ErrorKind kind, long retryAfterMilliseconds) {
        if (mPhase == RequestPhase.ENDED || isSent()) {
            return;
        }
        if (isAttemptInProgress()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
        }
        finish(kind, retryAfterMilliseconds);
    }

    private void endWithoutAnswer(ErrorKind kindIfNotRun) {
        if (mPhase == RequestPhase.ENDED) {
            return;
        }
        mMayHaveRun |= isSent();
        if (isAttemptInProgress()) {
            mOutbox.endAttempt(AttemptOutcome.CANCELLED);
        }
        finish(mMayHaveRun ? ErrorKind.ANSWER_TIMEOUT : kindIfNotRun, 0);
    }

    private void submitToQueue() {
        transitionTo(RequestPhase.QUEUED);
        mOutbox.submit(Set.copyOf(mExcludedEndpoints), mMayHaveRun);
    }

    private void send() {
        transitionTo(RequestPhase.SENT);
        mTriedEndpoints.add(mEndpoint);
        mListener.sent(mResolved, mEndpoint, mTriedEndpoints.size());
        mOutbox.send(mEndpoint);
    }

    private boolean isSent() {
        return mPhase == RequestPhase.SENT || mPhase == RequestPhase.ANSWERING;
    }

    private boolean isAttemptInProgress() {
        return isSent() || mPhase == RequestPhase.PREPARING;
    }

    private boolean shouldRetry(AttemptFailure failure) {
        boolean isSafeToRepeat =
                mResolved.route().isRepeatable() || (!failure.mayHaveRun() && !mMayHaveRun);
        boolean canContinueAnswer =
                !mAnswerStarted
                        || (mResolved.route().resumable()
                                && mAnswerContinuable
                                && failure != AttemptFailure.FAILED_ANSWER);
        if (!isSafeToRepeat || !canContinueAnswer || !hasTime() || !updateTriedEndpoints(failure)) {
            return false;
        }
        boolean reachedEndpoint =
                failure != AttemptFailure.NOT_SENT && failure != AttemptFailure.NOT_PREPARED;
        return !reachedEndpoint || mRetryBudget.tryAcquire(mResolved.service());
    }

    /**
     * Corrects the count of tried endpoints after a failure before sending; returns whether the
     * route allows another endpoint.
     */
    private boolean updateTriedEndpoints(AttemptFailure failure) {
        if (failure == AttemptFailure.NOT_SENT) {
            mTriedEndpoints.remove(mEndpoint);
        }
        if (failure == AttemptFailure.NOT_PREPARED) {
            mFailedAdapterLoads++;
        }
        return hasEndpointLeft();
    }

    private boolean hasEndpointLeft() {
        int maximum = mResolved.route().maximumEndpoints();
        return mTriedEndpoints.size() < maximum && mFailedAdapterLoads <= maximum;
    }

    private boolean hasTime() {
        long remaining = mResolved.deadlineMilliseconds() - mClock.millis();
        return remaining > RequestTiming.MINIMUM_ATTEMPT_MILLISECONDS && canEndInTime();
    }

    /** An answer that has begun is continued, as its caller cannot be refused any more. */
    private boolean canEndInTime() {
        return mAnswerStarted || mStopPolicy.canEndInTime(mResolved);
    }

    private ErrorKind errorKindFor(AttemptFailure failure) {
        return switch (failure) {
            case NOT_SENT, NOT_RUN, NOT_PREPARED -> ErrorKind.NO_ENDPOINT;
            case FULL -> ErrorKind.OVERLOADED;
            case FAILED_ANSWER, BROKEN -> ErrorKind.ENDPOINT_FAILED;
            case SILENT -> ErrorKind.ANSWER_TIMEOUT;
        };
    }

    private static AttemptOutcome attemptOutcomeFor(AttemptFailure failure) {
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
        ErrorKind reportedKind =
                mMayHaveRun && meansNotRun(kind) ? ErrorKind.ENDPOINT_FAILED : kind;
        mListener.failed(mResolved, mPhase, reportedKind, mMayHaveRun, mHasBufferedAnswer);
        if (mAnswerStarted) {
            mOutbox.abort();
        } else if (mHasBufferedAnswer) {
            mOutbox.forwardBufferedAnswer();
        } else {
            mOutbox.fail(reportedKind, retryAfterMilliseconds);
        }
        end();
    }

    private static boolean meansNotRun(ErrorKind kind) {
        return kind != ErrorKind.ENDPOINT_FAILED
                && kind != ErrorKind.ANSWER_TIMEOUT
                && kind != ErrorKind.KEY_WITHDRAWN;
    }

    private void end() {
        transitionTo(RequestPhase.ENDED);
        settle();
        mOutbox.ended();
    }

    private void settle() {
        if (mReserved) {
            mReserved = false;
            mOutbox.settle(mMayHaveRun);
        }
    }

    private void transitionTo(RequestPhase next) {
        if (!mPhase.next().contains(next)) {
            throw new IllegalStateException(
                    "expected request phase to be one of "
                            + mPhase.next()
                            + " after "
                            + mPhase
                            + " but was "
                            + next);
        }
        mPhase = next;
    }
}
