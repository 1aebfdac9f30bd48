package org.foxtailridge.node.caller;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.foxtailridge.clients.engine.AttemptIdentity;
import org.foxtailridge.clients.engine.CompletionToken;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.execution.quarantine.Fingerprint;
import org.foxtailridge.execution.retry.AttemptProgress;
import org.foxtailridge.execution.retry.FailedAttempt;
import org.foxtailridge.execution.retry.RetryDecision;
import org.foxtailridge.execution.stream.AnswerStream;
import org.foxtailridge.execution.stream.StreamStep;
import org.foxtailridge.execution.stream.TokenEvent;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.node.duty.DispatchListener;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingDecision;

/**
 * One completion from admission to the last byte: reserves tokens, waits for an endpoint, passes
 * tokens on in order, resumes or tries again where that is safe, and settles.
 *
 * <p>All events run one after the other through {@link #run}.
 */
final class CompletionRun implements RunningRequest, DispatchListener {
    private static final Logger LOGGER = LogManager.getLogger(CompletionRun.class);
    private static final Duration RETRY_PATIENCE = Duration.ofSeconds(10);
    private static final int LOWEST_FAILURE_STATUS = 500;
    private static final int MAXIMUM_RESUMES = 3;
    private static final int MAXIMUM_KEPT_CHARACTERS = 1 << 20;

    private final CompletionServices mServices;
    private final CallerExchange mExchange;
    private final Caller mCaller;
    private final CompletionRequest mRequest;
    private final ModelChoice mChoice;
    private final AnswerSink mSink;
    private final CompletionCalls mCalls;
    private final AnswerUsage mUsage;
    private final AdapterWait mAdapterWait;
    private final AnswerTimes mTimes;
    private final AnswerStream mStream;
    private final Fingerprint mFingerprint;
    private final String mRunId;
    private final SerializedInvoker mInvoker = new SerializedInvoker(CompletionRun.class);
    private final Set<EndpointName> mExcluded = new HashSet<>();
    private Reservation mReservation;
    private String mPermission = "";
    private Attempt mAttempt;
    private Endpoint mEndpoint;
    private EngineConnection mConnection;
    private FoxtailridgeException mLastFailure;
    private String mVersion = "";
    private String mTextSoFar = "";
    private int mTokensSoFar;
    private int mAttemptTokens;
    private int mTries;
    private boolean mMayHaveBegun;
    private boolean mEnded;

    CompletionRun(
            CompletionServices services,
            CallerExchange exchange,
            Caller caller,
            CompletionRequest request,
            ModelChoice choice,
            AnswerSink sink,
            Fingerprint fingerprint) {
        mServices = services;
        mExchange = exchange;
        mCaller = caller;
        mRequest = request;
        mChoice = choice;
        mSink = sink;
        mFingerprint = fingerprint;
        mRunId = services.identifiers().next();
        mCalls = new CompletionCalls(request, choice);
        mUsage = new AnswerUsage(request.promptTokens());
        mAdapterWait = new AdapterWait(services.placement(), choice);
        mTimes = services.newTimes(choice.model().name());
        mStream =
                AnswerStream.builder(exchange.requestId())
                        .mayRepeatElsewhere(request.mayRepeatElsewhere())
                        .maximumResumes(MAXIMUM_RESUMES)
                        .maximumKeptCharacters(MAXIMUM_KEPT_CHARACTERS)
                        .build();
    }

    /** Starts the run; it ends by itself. */
    void start() {
        mServices.running().add(this);
        mServices.demand().requested(mChoice.model().name(), mRequest.totalTokens());
        mServices
                .limits()
                .reserve(ClientAccountName.of(mCaller.clientAccount()), mRequest.totalTokens())
                .whenComplete((granted, failure) -> run(() -> onReserved(granted, failure)));
    }

    /** Runs an event after those that came before. */
    void run(Runnable event) {
        mInvoker.run(event);
    }

    @Override
    public String key() {
        return mCaller.key();
    }

    @Override
    public String clientAccount() {
        return mCaller.clientAccount();
    }

    @Override
    public void keyWithdrawn() {
        run(() -> end(CompletionFailedException.keyWithdrawn(mMayHaveBegun)));
    }

    @Override
    public void onDispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
        run(() -> connect(attempt, decision));
    }

    @Override
    public void onRefused(FoxtailridgeException refusal) {
        run(() -> end(mMayHaveBegun && mLastFailure != null ? mLastFailure : refusal));
    }

    @Override
    public void onPreempted(Attempt attempt) {
        run(() -> giveWay(attempt));
    }

    void onToken(EngineConnection connection, CompletionToken token) {
        if (isStale(connection)) {
            return;
        }
        TokenEvent event =
                new TokenEvent(
                        token.requestId(),
                        token.attemptId(),
                        token.index(),
                        token.text(),
                        Optional.ofNullable(token.finishReason()));
        StreamStep step = mStream.tokenArrived(event);
        if (step instanceof StreamStep.Deliver deliver) {
            deliver(connection, deliver, token);
        } else if (step instanceof StreamStep.Drop) {
            connection.demand();
        } else {
            follow(step);
        }
    }

    void onDone(EngineConnection connection) {
        if (!isStale(connection)) {
            follow(mStream.ended(mAttempt.attemptId()));
        }
    }

    void onRefused(EngineConnection connection, String reason, boolean notStarted) {
        if (isStale(connection)) {
            return;
        }
        if (connection.failedToResume()) {
            onAttemptLost();
        } else if (notStarted && mAdapterWait.mayHelp(reason)) {
            awaitAdapter();
        } else if (notStarted) {
            attemptFailed(AttemptOutcome.NOT_STARTED, AttemptProgress.NOT_BEGUN);
        } else {
            attemptFailed(AttemptOutcome.FAILED, AttemptProgress.MAY_HAVE_BEGUN);
        }
    }

    void onBroken(EngineConnection connection, boolean mayHaveStarted, Throwable cause) {
        if (isStale(connection)) {
            return;
        }
        LOGGER.info("attempt {} broke off: {}", mAttempt.attemptId(), cause.toString());
        if (connection.failedToResume()) {
            onAttemptLost();
        } else if (!mayHaveStarted) {
            attemptFailed(AttemptOutcome.UNREACHABLE, AttemptProgress.NOT_BEGUN);
        } else {
            follow(mStream.connectionLost(mAttempt.attemptId()));
        }
    }

    /** Has the adapter loaded on the chosen endpoint and asks it again shortly after. */
    private void awaitAdapter() {
        EngineConnection refused = mConnection;
        mAdapterWait.begin(mEndpoint.name());
        mServices.timer().after(AdapterWait.INTERVAL, () -> run(() -> askAgain(refused)));
    }

    private void askAgain(EngineConnection refused) {
        if (!isStale(refused)) {
            open(mAttempt.attemptId());
        }
    }

    private boolean isStale(EngineConnection connection) {
        return mEnded || connection != mConnection || connection.isClosed();
    }

    private void onReserved(Reservation reservation, Throwable failure) {
        if (failure != null) {
            end(FoxtailridgeException.from(failure));
            return;
        }
        if (mEnded) {
            mServices.limits().settle(reservation, 0);
            return;
        }
        mReservation = reservation;
        admit();
    }

    /** Asks the quarantine for the next attempt. */
    private void admit() {
        if (mEnded) {
            return;
        }
        String permission = mServices.identifiers().next();
        mPermission = permission;
        mServices
                .quarantine()
                .admit(permission, mFingerprint)
                .whenComplete((isolated, failure) -> run(() -> onAdmitted(isolated, failure)));
    }

    private void onAdmitted(Boolean isolated, Throwable failure) {
        if (mEnded) {
            return;
        }
        if (failure != null) {
            mPermission = "";
            onRefused(FoxtailridgeException.from(failure));
            return;
        }
        RouteRequest request =
                mCalls.routeRequest(mRunId, mCaller.clientAccount(), mTokensSoFar).toBuilder()
                        .excludedEndpoints(mExcluded)
                        .isolated(isolated)
                        .mayHaveBegun(mMayHaveBegun)
                        .build();
        mServices.routing().submit(request, this);
    }

    private void connect(Attempt attempt, RoutingDecision.Dispatch decision) {
        if (mEnded) {
            mServices.routing().attemptEnded(attempt.attemptId(), AttemptOutcome.CANCELLED, 0);
            return;
        }
        mAttempt = attempt;
        mAttemptTokens = 0;
        mTries++;
        mEndpoint =
                mServices
                        .configuration()
                        .current()
                        .find(Endpoint.class, attempt.endpoint().value())
                        .orElse(null);
        if (mEndpoint == null) {
            attemptFailed(AttemptOutcome.NOT_STARTED, AttemptProgress.NOT_BEGUN);
            return;
        }
        mExchange.sentTo(mEndpoint.name());
        if (mTries == 1) {
            mServices.routing().firstTry(mCaller.clientAccount(), mEndpoint.name());
        }
        mServices.quarantine().began(mPermission, mServices.reports().startOf(attempt.endpoint()));
        mStream.attemptBegan(attempt.attemptId());
        mMayHaveBegun = true;
        mVersion = decision.version();
        open(attempt.attemptId());
    }

    private void open(String attemptId) {
        EngineConnection connection = new EngineConnection(this, false);
        mConnection = connection;
        connection.opened(
                mServices
                        .engines()
                        .complete(
                                mEndpoint.address(),
                                identity(attemptId),
                                mCalls.call(mVersion, mTextSoFar, mTokensSoFar),
                                connection));
    }

    private AttemptIdentity identity(String attemptId) {
        return new AttemptIdentity(mExchange.requestId(), attemptId);
    }

    private void deliver(
            EngineConnection connection, StreamStep.Deliver deliver, CompletionToken token) {
        if (mAttemptTokens == 0) {
            mServices.routing().firstTokenArrived(mAttempt.attemptId());
        }
        mAttemptTokens++;
        mTimes.token();
        mUsage.delivered(token, mStream.delivered());
        CompletionToken numbered =
                new CompletionToken(
                        token.requestId(),
                        token.attemptId(),
                        deliver.index(),
                        deliver.text(),
                        token.finishReason(),
                        token.isLast() ? mUsage.whole() : null);
        mSink.token(
                numbered, Callback.from(connection::demand, gone -> run(() -> onCallerGone(gone))));
    }

    private void follow(StreamStep step) {
        if (step instanceof StreamStep.ResumeSameEngine resume) {
            resume(resume);
        } else if (step instanceof StreamStep.ResumeOtherEngine other) {
            mTextSoFar = other.text();
            mTokensSoFar = other.tokens();
            admit();
        } else if (step instanceof StreamStep.Complete) {
            finish();
        } else if (step instanceof StreamStep.Fail fail) {
            end(failureOf(fail.kind()));
        }
    }

    private void resume(StreamStep.ResumeSameEngine step) {
        mConnection.close();
        EngineConnection connection = new EngineConnection(this, true);
        mConnection = connection;
        connection.opened(
                mServices
                        .engines()
                        .resume(
                                mEndpoint.address(),
                                identity(step.attemptId()),
                                step.lastIndex(),
                                connection));
    }

    /** The engine is gone or doesn't know the attempt any more. */
    private void onAttemptLost() {
        if (mStream.delivered() == 0) {
            attemptFailed(AttemptOutcome.FAILED, AttemptProgress.MAY_HAVE_BEGUN);
            return;
        }
        String attemptId = mAttempt.attemptId();
        mExcluded.add(mAttempt.endpoint());
        endAttempt(AttemptOutcome.FAILED);
        follow(mStream.attemptUnknown(attemptId));
    }

    private void attemptFailed(AttemptOutcome attemptEnd, AttemptProgress progress) {
        FailedAttempt failed =
                new FailedAttempt(
                        mCaller.clientAccount(),
                        mAttempt.endpoint().value(),
                        true,
                        progress,
                        mLastFailure != null,
                        mTries,
                        mRequest.due().orElse(mTimes.began().plus(RETRY_PATIENCE)),
                        ErrorKind.ENDPOINT_FAILED);
        mExcluded.add(mAttempt.endpoint());
        mMayHaveBegun = mLastFailure != null || progress != AttemptProgress.NOT_BEGUN;
        if (progress != AttemptProgress.NOT_BEGUN) {
            mLastFailure = failureOf(ErrorKind.ENDPOINT_FAILED);
        }
        endAttempt(attemptEnd);
        mServices
                .routing()
                .decide(failed)
                .thenAccept(decision -> run(() -> onRetryDecision(decision)));
    }

    private void onRetryDecision(RetryDecision decision) {
        if (decision instanceof RetryDecision.Retry retry) {
            mServices.metrics().retried(mMayHaveBegun ? "failed" : "not_begun");
            mServices.timer().after(retry.delay(), () -> run(this::admit));
        } else if (decision instanceof RetryDecision.GiveUp giveUp) {
            end(failureOf(giveUp.kind()));
        }
    }

    private FoxtailridgeException failureOf(ErrorKind kind) {
        return CompletionFailedException.of(kind, mStream.delivered());
    }

    private void giveWay(Attempt attempt) {
        if (mEnded || mAttempt == null || !mAttempt.attemptId().equals(attempt.attemptId())) {
            return;
        }
        cancelAttempt();
        if (mStream.delivered() == 0) {
            admit();
        } else {
            follow(mStream.attemptUnknown(attempt.attemptId()));
        }
    }

    private void onCallerGone(Throwable cause) {
        if (!mEnded) {
            close();
            mExchange.abandon(cause);
        }
    }

    private void finish() {
        endAttempt(AttemptOutcome.FINISHED);
        mServices.objectives().record(mTimes.whole(mCaller.clientAccount()));
        close();
        mSink.finish(mUsage.whole());
    }

    private void end(FoxtailridgeException failure) {
        if (!mEnded) {
            if (failure.answer().status() >= LOWEST_FAILURE_STATUS) {
                mServices.objectives().record(mTimes.broken(mCaller.clientAccount()));
            }
            close();
            mSink.fail(failure);
        }
    }

    /** Ends the run: cancels what still runs, gives back what is held, settles. */
    private void close() {
        mEnded = true;
        cancelAttempt();
        if (!mPermission.isEmpty()) {
            mServices.quarantine().released(mPermission);
        }
        mServices.routing().forget(mRunId);
        mServices.running().remove(this);
        if (mReservation != null) {
            long used = mUsage.chargedTokens();
            mServices.limits().settle(mReservation, used);
            mServices.metrics().tokensCharged(mCaller.clientAccount(), used);
        }
    }

    private void cancelAttempt() {
        if (mAttempt == null) {
            return;
        }
        if (mConnection != null) {
            mServices.engines().cancel(mEndpoint.address(), mAttempt.attemptId());
        }
        endAttempt(AttemptOutcome.CANCELLED);
    }

    private void endAttempt(AttemptOutcome attemptEnd) {
        if (mAttempt == null) {
            return;
        }
        if (mConnection != null && attemptEnd != AttemptOutcome.FINISHED) {
            mConnection.close();
        }
        mServices.routing().attemptEnded(mAttempt.attemptId(), attemptEnd, mAttemptTokens);
        tellQuarantine(attemptEnd);
        mAttempt = null;
        mConnection = null;
    }

    private void tellQuarantine(AttemptOutcome attemptEnd) {
        switch (attemptEnd) {
            case FINISHED -> mServices.quarantine().finished(mPermission);
            case FAILED -> mServices.quarantine().failed(mPermission);
            default -> mServices.quarantine().released(mPermission);
        }
        mPermission = "";
    }
}
