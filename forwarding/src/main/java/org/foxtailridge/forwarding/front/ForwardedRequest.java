package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.http.AnswerMatch;
import org.foxtailridge.forwarding.http.AnswerOutcome;
import org.foxtailridge.forwarding.http.AttemptParameters;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.http.CallerListener;
import org.foxtailridge.forwarding.http.EndpointExchange;
import org.foxtailridge.forwarding.http.EventSequence;
import org.foxtailridge.forwarding.http.ExchangeListener;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.foxtailridge.forwarding.request.RequestOutbox;
import org.foxtailridge.forwarding.request.RequestStateMachine;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.RoutingDecision;

/**
 * One request of a caller with its attempts: connects its {@link RequestStateMachine} with the
 * connections to caller and endpoints, the queue, the token limiter and the timers.
 *
 * <p>Confined to the event loop of the forwarder.
 */
final class ForwardedRequest
        implements RequestOutbox, ExchangeListener, CallerListener, AnswerBuffers.Holder {
    // An idempotent request is retried at another endpoint after this multiple of its target
    // latency.
    private static final int ATTEMPT_TIMEOUT_FACTOR = 3;
    private static final long MINIMUM_ATTEMPT_TIMEOUT_MILLISECONDS = 250;

    private final Forwarder mForwarder;
    private final ForwarderDependencies mDependencies;
    private final CallerExchange mCaller;
    private final ResolvedRequest mResolved;
    private final RequestStateMachine mStateMachine;
    private final AnswerWriter mAnswerWriter;
    private final CrashReporter mCrashes;
    private final RequestLines mLog;
    private BufferedAnswer mBufferedAnswer;
    private Reservation mReservation;
    private Attempt mAttempt;
    private EndpointExchange mExchange;
    private Runnable mAdapterLoad;
    private ScheduledFuture<?> mDeadlineTimer;
    private ScheduledFuture<?> mAttemptTimer;
    private boolean mFirstTokenReported;
    private int mForwardedParts;
    private long mFirstPartMilliseconds;

    ForwardedRequest(
            Forwarder forwarder,
            ForwarderDependencies dependencies,
            CallerExchange caller,
            ResolvedRequest resolved) {
        mForwarder = forwarder;
        mDependencies = dependencies;
        mCaller = caller;
        mResolved = resolved;
        boolean streams = resolved.route().kind() == RequestKind.STREAM;
        Optional<String> resumeAfter =
                resolved.route().resumable() ? resolved.metadata().resumeAfter() : Optional.empty();
        mAnswerWriter =
                new AnswerWriter(
                        caller, dependencies.dialect(), streams, new EventSequence(resumeAfter));
        mCrashes = new CrashReporter(dependencies, resolved, caller);
        mLog = dependencies.log().lines();
        mStateMachine =
                new RequestStateMachine(
                        resolved,
                        this::tryAcquireRetry,
                        forwarder::canEndInTime,
                        dependencies.clock(),
                        this,
                        mLog);
    }

    void start() {
        mCaller.setListener(this);
        mLog.accepted(mResolved);
        long remaining = mResolved.deadlineMilliseconds() - mDependencies.clock().millis();
        mDeadlineTimer =
                mDependencies
                        .loop()
                        .schedule(
                                mStateMachine::deadlinePassed,
                                Math.max(0, remaining),
                                TimeUnit.MILLISECONDS);
        mStateMachine.start();
    }

    ResolvedRequest resolved() {
        return mResolved;
    }

    CrashReporter crashes() {
        return mCrashes;
    }

    RequestStateMachine stateMachine() {
        return mStateMachine;
    }

    void tokensRefused(ErrorKind kind, long retryAfterMilliseconds) {
        mLog.tokensRefused(mResolved, kind, retryAfterMilliseconds);
        mStateMachine.tokensRefused(kind, retryAfterMilliseconds);
    }

    void tokensGranted(Reservation reservation) {
        mReservation = reservation;
        mStateMachine.tokensGranted();
    }

    void dispatched(Attempt attempt, RoutingDecision.Dispatch decision) {
        mAttempt = attempt;
        mLog.chosen(
                mResolved,
                decision.endpoint(),
                decision.expectedMilliseconds(),
                decision.mustLoadAdapter());
        mStateMachine.dispatched(decision.endpoint(), decision.mustLoadAdapter());
    }

    @Override
    public void reserve() {
        mForwarder.reserve(this);
    }

    @Override
    public void settle(boolean mayHaveRun) {
        mDependencies.limiter().settle(mReservation, mayHaveRun ? mReservation.tokens() : 0);
    }

    @Override
    public void submit(Set<EndpointName> excluded, boolean mayHaveRun) {
        mForwarder.submit(this, excluded, mayHaveRun);
    }

    @Override
    public void withdraw() {
        mForwarder.withdraw(mResolved.runId());
    }

    @Override
    public void loadAdapter(EndpointName endpoint) {
        mAdapterLoad =
                mDependencies
                        .adapters()
                        .load(
                                endpoint,
                                mResolved.metadata().model().orElseThrow(),
                                loaded -> {
                                    mAdapterLoad = null;
                                    if (loaded) {
                                        mStateMachine.adapterLoaded();
                                    } else {
                                        mStateMachine.attemptFailed(
                                                AttemptFailure.NOT_PREPARED, false);
                                    }
                                });
    }

    @Override
    public void send(EndpointName endpoint) {
        mFirstTokenReported = false;
        mForwardedParts = 0;
        mCrashes.sent();
        Optional<EndpointAnnouncement> announcement = mForwarder.registry().find(endpoint);
        if (announcement.isEmpty()) {
            mDependencies
                    .loop()
                    .execute(() -> mStateMachine.attemptFailed(AttemptFailure.NOT_SENT, false));
            return;
        }
        boolean repeatable = mResolved.route().isRepeatable();
        mExchange =
                mDependencies
                        .connections()
                        .start(
                                announcement.get().address(),
                                mForwarder.registry().connectionLimit(mResolved.service()),
                                repeatable,
                                buildRequest(announcement.get().id()),
                                this);
        startAttemptTimer();
    }

    @Override
    public void endAttempt(AttemptOutcome outcome) {
        cancel(mAttemptTimer);
        if (mAdapterLoad != null) {
            mAdapterLoad.run();
            mAdapterLoad = null;
        }
        if (mExchange != null) {
            mExchange.cancel();
            mExchange = null;
        }
        if (mAttempt != null) {
            mForwarder.attemptEnded(mAttempt, outcome, mForwardedParts);
            mAttempt = null;
        }
        mAnswerWriter.reset();
        recordBufferedBytes();
    }

    @Override
    public void forwardBufferedAnswer() {
        BufferedAnswer answer = mBufferedAnswer;
        if (answer == null) {
            // It was released for want of memory.
            fail(ErrorKind.ENDPOINT_FAILED, 0);
            return;
        }
        mBufferedAnswer = null;
        mAnswerWriter.writeBuffered(answer);
    }

    @Override
    public void fail(ErrorKind kind, long retryAfterMilliseconds) {
        mForwarder.fail(mCaller, mResolved, kind, retryAfterMilliseconds);
    }

    @Override
    public void abort() {
        mCaller.abort();
    }

    @Override
    public void ended() {
        cancel(mDeadlineTimer);
        cancel(mAttemptTimer);
        mAnswerWriter.reset();
        dropBufferedAnswer();
        recordBufferedBytes();
        mForwarder.ended(this);
    }

    @Override
    public void releaseBuffer() {
        if (mAnswerWriter.canForwardBuffered()) {
            mAnswerWriter.forwardBuffered();
            partForwarded(true);
            return;
        }
        boolean isUnfinished = mAnswerWriter.bufferedBytes() > 0;
        mLog.exchangeFailed(
                mResolved,
                mStateMachine.endpoint(),
                isUnfinished
                        ? "the unfinished answer takes too much memory"
                        : "the answer takes too much memory while another endpoint is tried",
                mForwardedParts);
        if (isUnfinished) {
            mStateMachine.attemptFailed(AttemptFailure.BROKEN, false);
        } else {
            dropBufferedAnswer();
        }
    }

    @Override
    public void disconnected() {
        mStateMachine.callerLeft();
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (mExchange != null) {
            mExchange.setReading(writable);
        }
    }

    @Override
    public AnswerMatch match(HttpResponse head) {
        return mDependencies.dialect().match(head, mResolved.metadata().requestId());
    }

    @Override
    public void head(HttpResponse head) {
        AnswerOutcome outcome = mAnswerWriter.head(head);
        if (mAnswerWriter.contradictsStart()) {
            mStateMachine.attemptFailed(AttemptFailure.FAILED_ANSWER, false);
            return;
        }
        if (outcome == AnswerOutcome.SUCCESS) {
            cancel(mAttemptTimer);
        }
    }

    @Override
    public void content(ByteBuf content) {
        boolean isFirstPart = !mAnswerWriter.hasStarted();
        boolean forwarded = mAnswerWriter.content(content);
        if (forwarded) {
            partForwarded(isFirstPart);
        }
        if (mAnswerWriter.isOutOfOrder()) {
            logStreamAttempt("out of order");
            mStateMachine.attemptFailed(AttemptFailure.BROKEN, false);
            return;
        }
        if (mAnswerWriter.isTooLarge()) {
            mStateMachine.attemptFailed(AttemptFailure.BROKEN, false);
        }
        recordBufferedBytes();
    }

    @Override
    public void complete() {
        if (mAnswerWriter.isBrokenOff()) {
            failed(AttemptFailure.BROKEN, "the stream ended without a sign that it is complete");
            return;
        }
        mExchange = null;
        logStreamAttempt("complete");
        AnswerOutcome outcome = mAnswerWriter.outcome();
        mCrashes.alive(mStateMachine.endpoint());
        switch (outcome) {
            case SUCCESS, REJECTION -> {
                reportFirstToken();
                if (outcome == AnswerOutcome.SUCCESS) {
                    mCrashes.succeeded();
                }
                mCrashes.answered(mStateMachine.endpoint());
                recordPace();
                mAnswerWriter.complete();
                mStateMachine.answerCompleted();
            }
            case FAILURE -> {
                bufferAnswer();
                mStateMachine.attemptFailed(AttemptFailure.FAILED_ANSWER, true);
            }
            case FULL -> mStateMachine.attemptFailed(AttemptFailure.FULL, false);
            case WRONG_ENDPOINT -> {
                mForwarder.registry().reportAddressMismatch(mStateMachine.endpoint());
                mStateMachine.attemptFailed(AttemptFailure.NOT_RUN, false);
            }
            case NOT_RUN -> mStateMachine.attemptFailed(AttemptFailure.NOT_RUN, false);
            case UNRECOGNISED -> mStateMachine.attemptFailed(AttemptFailure.BROKEN, false);
            default -> throw new IllegalStateException("unknown outcome of an answer: " + outcome);
        }
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        mExchange = null;
        logStreamAttempt(reason);
        mLog.exchangeFailed(mResolved, mStateMachine.endpoint(), reason, mForwardedParts);
        if (failure == AttemptFailure.BROKEN) {
            mCrashes.broken(mStateMachine.endpoint());
        }
        mStateMachine.attemptFailed(failure, false);
    }

    /** Takes a retry from the budget, unless the request is held back after endpoint crashes. */
    private boolean tryAcquireRetry(String service) {
        return mCrashes.heldBackMilliseconds() == 0 && mDependencies.retries().take(service);
    }

    private void logStreamAttempt(String end) {
        mAnswerWriter
                .streamAttempt()
                .filter(StreamAttempt::isNotable)
                .ifPresent(
                        attempt ->
                                mLog.streamAttemptEnded(
                                        mResolved, mStateMachine.endpoint(), attempt, end));
    }

    /**
     * Stops reading the answer until the caller has read enough. The connection of the caller tells
     * only of changes, and it may have been full before this answer began.
     */
    private void pauseForSlowCaller() {
        if (mExchange != null && !mCaller.isWritable()) {
            mExchange.setReading(false);
        }
    }

    private void recordPace() {
        boolean stream = mResolved.route().kind() == RequestKind.STREAM;
        if (stream && mAnswerWriter.hasStarted()) {
            mForwarder.pace().record(mResolved, mFirstPartMilliseconds, ageMilliseconds());
        }
    }

    private long ageMilliseconds() {
        return mDependencies.clock().millis() - mResolved.arrivedMilliseconds();
    }

    private void bufferAnswer() {
        dropBufferedAnswer();
        mBufferedAnswer = mAnswerWriter.takeBufferedAnswer();
    }

    private void dropBufferedAnswer() {
        if (mBufferedAnswer != null) {
            mBufferedAnswer.release();
            mBufferedAnswer = null;
        }
    }

    private void recordBufferedBytes() {
        long whole = mBufferedAnswer == null ? 0 : mBufferedAnswer.body().readableBytes();
        mForwarder.answerBuffers().resized(this, whole + mAnswerWriter.bufferedBytes());
    }

    private void partForwarded(boolean isFirstPart) {
        mForwardedParts++;
        mCrashes.partForwarded();
        if (isFirstPart) {
            mFirstPartMilliseconds = ageMilliseconds();
            mLog.firstPartForwarded(mResolved);
        }
        reportFirstToken();
        mStateMachine.answerPartForwarded(mAnswerWriter.isContinuable());
        pauseForSlowCaller();
    }

    private void reportFirstToken() {
        if (!mFirstTokenReported && mAttempt != null) {
            mFirstTokenReported = true;
            mForwarder.firstTokenArrived(mAttempt);
        }
    }

    private FullHttpRequest buildRequest(String endpointId) {
        Optional<String> resumeAfter =
                mAnswerWriter.lastEventId().or(() -> mResolved.metadata().resumeAfter());
        AttemptParameters parameters =
                new AttemptParameters(
                        endpointId,
                        mResolved.account().map(ForwardingAccount::name),
                        Math.max(
                                1,
                                mResolved.deadlineMilliseconds() - mDependencies.clock().millis()),
                        resumeAfter,
                        RequestPriority.enginePriority(mResolved));
        HttpHeaders headers = mDependencies.dialect().headersToEndpoint(mCaller.head(), parameters);
        ByteBuf body = mCaller.body().retainedDuplicate();
        if (body.isReadable()
                || mCaller.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                mCaller.head().method(),
                mCaller.head().uri(),
                body,
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private void startAttemptTimer() {
        if (mResolved.route().kind() != RequestKind.IDEMPOTENT || !mStateMachine.canRetry()) {
            return;
        }
        long targetMilliseconds = mResolved.route().targetLatency().toMillis();
        long timeout =
                Math.max(
                        ATTEMPT_TIMEOUT_FACTOR * targetMilliseconds,
                        MINIMUM_ATTEMPT_TIMEOUT_MILLISECONDS);
        mAttemptTimer =
                mDependencies
                        .loop()
                        .schedule(mStateMachine::attemptTimedOut, timeout, TimeUnit.MILLISECONDS);
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
