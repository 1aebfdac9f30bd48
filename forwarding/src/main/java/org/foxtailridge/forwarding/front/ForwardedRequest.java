package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.http.AnswerOutcome;
import org.foxtailridge.forwarding.http.AttemptParameters;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.http.CallerListener;
import org.foxtailridge.forwarding.http.EndpointExchange;
import org.foxtailridge.forwarding.http.ExchangeListener;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.foxtailridge.forwarding.request.RequestOutbox;
import org.foxtailridge.forwarding.request.RequestStateMachine;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.RoutingDecision;

/** One request of a caller with its attempts; joins its life to connections and queue. */
final class ForwardedRequest implements RequestOutbox, ExchangeListener, CallerListener {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    // An idempotent request is tried elsewhere after this many times its target latency.
    private static final int PATIENCE_FACTOR = 3;
    private static final long LEAST_PATIENCE_MILLISECONDS = 250;

    private final Forwarder mForwarder;
    private final ForwarderDependencies mParts;
    private final CallerExchange mCaller;
    private final ResolvedRequest mTerms;
    private final RequestStateMachine mLife;
    private final AnswerWriter mRelay;
    private final RequestLines mLines;
    private BufferedAnswer mKeptAnswer;
    private Reservation mReservation;
    private Attempt mAttempt;
    private EndpointExchange mExchange;
    private Runnable mPreparation;
    private ScheduledFuture<?> mEndTimer;
    private ScheduledFuture<?> mPatienceTimer;
    private boolean mFirstTokenTold;
    private int mEvents;

    ForwardedRequest(
            Forwarder forwarder,
            ForwarderDependencies parts,
            CallerExchange caller,
            ResolvedRequest terms) {
        mForwarder = forwarder;
        mParts = parts;
        mCaller = caller;
        mTerms = terms;
        boolean streams = terms.route().kind() == RequestKind.STREAM;
        mRelay = new AnswerWriter(caller, parts.dialect(), streams);
        mLines = parts.log().lines();
        mLife = new RequestStateMachine(terms, this::mayRetry, parts.clock(), this, mLines);
    }

    void start() {
        mCaller.setListener(this);
        mLines.accepted(mTerms);
        long left = mTerms.deadlineMilliseconds() - mParts.clock().millis();
        mEndTimer =
                mParts.loop().schedule(mLife::timeIsOver, Math.max(0, left), TimeUnit.MILLISECONDS);
        mLife.start();
    }

    ResolvedRequest terms() {
        return mTerms;
    }

    RequestStateMachine life() {
        return mLife;
    }

    void tokensRefused(ErrorKind kind, long retryAfterMilliseconds) {
        mLines.tokensRefused(mTerms, kind, retryAfterMilliseconds);
        mLife.tokensRefused(kind, retryAfterMilliseconds);
    }

    void granted(Reservation reservation) {
        mReservation = reservation;
        mLife.tokensGranted();
    }

    void dispatched(Attempt attempt, RoutingDecision.Dispatch decision) {
        mAttempt = attempt;
        mLines.chosen(
                mTerms,
                decision.endpoint(),
                decision.expectedMilliseconds(),
                decision.mustLoadAdapter());
        mLife.dispatched(decision.endpoint(), decision.mustLoadAdapter());
    }

    @Override
    public void reserve() {
        mForwarder.reserve(this);
    }

    @Override
    public void settle(boolean mayHaveRun) {
        mParts.limiter().settle(mReservation, mayHaveRun ? mReservation.tokens() : 0);
    }

    @Override
    public void submit(Set<EndpointName> excluded, boolean begun) {
        mForwarder.submit(this, excluded, begun);
    }

    @Override
    public void withdraw() {
        mForwarder.withdraw(mTerms.runId());
    }

    @Override
    public void prepare(EndpointName endpoint) {
        mPreparation =
                mParts.adapters()
                        .load(
                                endpoint,
                                mTerms.metadata().model().orElseThrow(),
                                ready -> {
                                    mPreparation = null;
                                    if (ready) {
                                        mLife.prepared();
                                    } else {
                                        mLife.attemptFailed(AttemptFailure.NOT_PREPARED, false);
                                    }
                                });
    }

    @Override
    public void send(EndpointName endpoint) {
        mFirstTokenTold = false;
        mEvents = 0;
        Optional<EndpointAnnouncement> announced = mForwarder.registry().find(endpoint);
        if (announced.isEmpty()) {
            mParts.loop().execute(() -> mLife.attemptFailed(AttemptFailure.NOT_SENT, false));
            return;
        }
        boolean repeatable = mTerms.route().isRepeatable();
        mExchange =
                mParts.connections()
                        .start(
                                announced.get().address(),
                                mForwarder.registry().connectionLimit(mTerms.service()),
                                repeatable,
                                request(announced.get().id()),
                                this);
        startPatience();
    }

    @Override
    public void endAttempt(AttemptOutcome end) {
        cancel(mPatienceTimer);
        if (mPreparation != null) {
            mPreparation.run();
            mPreparation = null;
        }
        if (mExchange != null) {
            mExchange.cancel();
            mExchange = null;
        }
        if (mAttempt != null) {
            mForwarder.attemptEnded(mAttempt, end, mEvents);
            mAttempt = null;
        }
    }

    @Override
    public void passKeptAnswer() {
        BufferedAnswer answer = mKeptAnswer;
        mKeptAnswer = null;
        mRelay.pass(answer);
    }

    @Override
    public void fail(ErrorKind kind, long retryAfterMilliseconds) {
        mForwarder.fail(mCaller, mTerms, kind, retryAfterMilliseconds);
    }

    @Override
    public void abort() {
        mCaller.abort();
    }

    @Override
    public void ended() {
        cancel(mEndTimer);
        cancel(mPatienceTimer);
        mRelay.reset();
        if (mKeptAnswer != null) {
            mKeptAnswer.release();
            mKeptAnswer = null;
        }
        mForwarder.ended(this);
    }

    @Override
    public void disconnected() {
        mLife.callerLeft();
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (mExchange != null) {
            mExchange.setReading(writable);
        }
    }

    @Override
    public boolean matches(HttpResponse head) {
        return mParts.dialect().isAnswerTo(head, mTerms.metadata().requestId());
    }

    @Override
    public void head(HttpResponse head) {
        AnswerOutcome meaning = mRelay.head(head);
        if (meaning == AnswerOutcome.SUCCESS) {
            cancel(mPatienceTimer);
        }
    }

    @Override
    public void content(ByteBuf content) {
        boolean first = !mRelay.hasBegun();
        boolean passed = mRelay.content(content);
        if (passed) {
            mEvents++;
            if (first) {
                mLines.firstPassed(mTerms);
            }
            tellFirstToken();
            mLife.answerPassed();
        }
        if (mRelay.isTooLarge()) {
            mLife.attemptFailed(AttemptFailure.BROKEN, false);
        }
    }

    @Override
    public void complete() {
        mExchange = null;
        AnswerOutcome meaning = mRelay.meaning();
        switch (meaning) {
            case SUCCESS, REJECTION -> {
                tellFirstToken();
                noteHarmless();
                mRelay.complete();
                mLife.answerComplete();
            }
            case FAILURE -> {
                keepAnswer();
                mLife.attemptFailed(AttemptFailure.FAILED_ANSWER, true);
            }
            case FULL -> mLife.attemptFailed(AttemptFailure.FULL, false);
            case WRONG_ENDPOINT -> {
                mForwarder.registry().reportAddressMismatch(mLife.endpoint());
                mLife.attemptFailed(AttemptFailure.NOT_RUN, false);
            }
            case NOT_RUN -> mLife.attemptFailed(AttemptFailure.NOT_RUN, false);
            case UNRECOGNISED -> mLife.attemptFailed(AttemptFailure.BROKEN, false);
            default -> throw new IllegalStateException("unknown meaning " + meaning);
        }
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        mExchange = null;
        mLines.exchangeFailed(mTerms, mLife.endpoint(), reason);
        if (failure == AttemptFailure.BROKEN) {
            mParts.crashes().broken(Forwarder.fingerprint(mTerms, mCaller), mLife.endpoint());
        }
        mLife.attemptFailed(failure, false);
    }

    private boolean mayRetry(String service) {
        return mForwarder.heldBackMilliseconds(mTerms, mCaller) == 0
                && mParts.retries().take(service);
    }

    /** Tells that an endpoint lives; before the end of the answer, which releases the body. */
    private void noteHarmless() {
        if (!mParts.crashes().isEmpty()) {
            mParts.crashes().answered(Forwarder.fingerprint(mTerms, mCaller), mLife.endpoint());
        }
    }

    private void keepAnswer() {
        if (mKeptAnswer != null) {
            mKeptAnswer.release();
        }
        mKeptAnswer = mRelay.takeAnswer();
    }

    private void tellFirstToken() {
        if (!mFirstTokenTold && mAttempt != null) {
            mFirstTokenTold = true;
            mForwarder.firstTokenArrived(mAttempt);
        }
    }

    private FullHttpRequest request(String endpointId) {
        Optional<String> resumeAfter =
                mRelay.lastEventId().or(() -> mTerms.metadata().resumeAfter());
        AttemptParameters terms =
                new AttemptParameters(
                        endpointId,
                        mTerms.account().map(ForwardingAccount::name),
                        Math.max(1, mTerms.deadlineMilliseconds() - mParts.clock().millis()),
                        resumeAfter,
                        RequestPriority.enginePriority(mTerms));
        HttpHeaders headers = mParts.dialect().headersToEndpoint(mCaller.head(), terms);
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

    private void startPatience() {
        if (mTerms.route().kind() != RequestKind.IDEMPOTENT || !mLife.couldTryAgain()) {
            return;
        }
        long target = mTerms.route().targetLatency().toMillis();
        long patience = Math.max(PATIENCE_FACTOR * target, LEAST_PATIENCE_MILLISECONDS);
        mPatienceTimer =
                mParts.loop()
                        .schedule(
                                () -> mLife.attemptFailed(AttemptFailure.SILENT, false),
                                patience,
                                TimeUnit.MILLISECONDS);
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    static HttpHeaders failureHeaders(OptionalLong retryAfterMilliseconds) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        retryAfterMilliseconds.ifPresent(
                milliseconds ->
                        headers.set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(
                                        Locale.ROOT,
                                        "%.3f",
                                        milliseconds / MILLISECONDS_PER_SECOND)));
        return headers;
    }
}
