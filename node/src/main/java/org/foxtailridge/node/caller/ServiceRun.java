package org.foxtailridge.node.caller;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.foxtailridge.clients.engine.AttemptIdentity;
import org.foxtailridge.clients.http.ExchangeFailedException;
import org.foxtailridge.clients.service.ServiceAnswer;
import org.foxtailridge.clients.service.ServiceCall;
import org.foxtailridge.clients.service.ServiceClient;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.ServiceRoute;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ExecutionStarted;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.execution.claim.CallOutcome;
import org.foxtailridge.execution.claim.ClaimCall;
import org.foxtailridge.execution.retry.AttemptProgress;
import org.foxtailridge.execution.retry.FailedAttempt;
import org.foxtailridge.execution.retry.RetryDecision;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.node.duty.ClaimVerdict;
import org.foxtailridge.node.duty.ClaimsDuty;
import org.foxtailridge.node.duty.DispatchListener;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.RoutingDecision;

/**
 * One call of a plain service from admission to the answer. A call that may not be repeated is sent
 * again only while it provably has not begun.
 */
final class ServiceRun implements RunningRequest, DispatchListener {
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String OPEN_ACCOUNT = "open-route";
    private static final int LOWEST_FAILURE_STATUS = 500;
    private static final String[] FORWARDED_HEADERS = {
        "Content-Type", "Accept", "Accept-Language", IDEMPOTENCY_KEY
    };

    private final CompletionServices mServices;
    private final ServiceClient mClient;
    private final ClaimsDuty mClaims;
    private final CallerExchange mExchange;
    private final Optional<Caller> mCaller;
    private final Service mService;
    private final ServiceRoute mRoute;
    private final ServiceCall mCall;
    private final Optional<String> mIdempotencyKey;
    private final String mRunId;
    private final AnswerTimes mTimes;
    private final SerializedInvoker mInvoker = new SerializedInvoker(ServiceRun.class);
    private final Set<EndpointName> mExcluded = new HashSet<>();
    private Reservation mReservation;
    private Attempt mAttempt;
    private OptionalLong mClaimedCall = OptionalLong.empty();
    private boolean mMayHaveBegun;
    private boolean mEarlierMayHaveBegun;
    private boolean mEnded;
    private int mTries;

    ServiceRun(
            CompletionServices services,
            ServiceClient client,
            ClaimsDuty claims,
            CallerExchange exchange,
            Optional<Caller> caller,
            Service service,
            ServiceRoute route,
            String target,
            byte[] body) {
        mServices = services;
        mClient = client;
        mClaims = claims;
        mExchange = exchange;
        mCaller = caller;
        mService = service;
        mRoute = route;
        mCall = new ServiceCall(exchange.method(), target, forwardedHeaders(exchange), body);
        mIdempotencyKey = exchange.header(IDEMPOTENCY_KEY);
        mRunId = services.identifiers().next();
        mTimes = services.newTimes(service.name());
    }

    /** Starts the call; it ends by itself. */
    void start() {
        mServices.running().add(this);
        if (mCaller.isEmpty() || mRoute.tokens() == 0) {
            run(this::claim);
            return;
        }
        mServices
                .limits()
                .reserve(ClientAccountName.of(clientAccount()), mRoute.tokens())
                .whenComplete((granted, failure) -> run(() -> onReserved(granted, failure)));
    }

    @Override
    public String key() {
        return mCaller.map(Caller::key).orElse("");
    }

    @Override
    public String clientAccount() {
        return mCaller.map(Caller::clientAccount).orElse("");
    }

    @Override
    public void keyWithdrawn() {
        run(() -> fail(CompletionFailedException.keyWithdrawn(mMayHaveBegun)));
    }

    @Override
    public void onDispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
        run(() -> send(attempt));
    }

    @Override
    public void onRefused(FoxtailridgeException refusal) {
        run(() -> fail(refusal));
    }

    @Override
    public void onPreempted(Attempt attempt) {}

    private void run(Runnable event) {
        mInvoker.run(event);
    }

    private static Map<String, String> forwardedHeaders(CallerExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (String name : FORWARDED_HEADERS) {
            exchange.header(name).ifPresent(value -> headers.put(name, value));
        }
        return headers;
    }

    private void onReserved(Reservation reservation, Throwable failure) {
        if (failure != null) {
            fail(FoxtailridgeException.from(failure));
            return;
        }
        if (mEnded) {
            mServices.limits().settle(reservation, 0);
            return;
        }
        mReservation = reservation;
        claim();
    }

    /** Claims a call that may not be repeated under its idempotency key. */
    private void claim() {
        if (mRoute.idempotent() || mIdempotencyKey.isEmpty()) {
            submit();
            return;
        }
        String account = mCaller.map(Caller::clientAccount).orElse(OPEN_ACCOUNT);
        String fingerprint =
                ClaimCall.fingerprintOf(
                        mCall.method(), mService.name() + mCall.target(), mCall.body());
        mClaims.claim(ClientAccountName.of(account), mIdempotencyKey.get(), fingerprint)
                .whenComplete((verdict, failure) -> run(() -> onVerdict(verdict, failure)));
    }

    private void onVerdict(ClaimVerdict verdict, Throwable failure) {
        if (failure != null) {
            fail(FoxtailridgeException.from(failure));
        } else if (verdict instanceof ClaimVerdict.Dispatch dispatch) {
            mClaimedCall = OptionalLong.of(dispatch.call());
            if (mEnded) {
                reportOutcome(new CallOutcome.NotStarted());
            } else {
                submit();
            }
        } else if (verdict instanceof ClaimVerdict.AnswerWith repeated) {
            finish(ServiceAnswers.from(repeated.answer()));
        }
    }

    private void reportOutcome(CallOutcome outcome) {
        mClaimedCall.ifPresent(call -> mClaims.ended(call, outcome));
        mClaimedCall = OptionalLong.empty();
    }

    private void submit() {
        if (mEnded) {
            return;
        }
        RouteRequest request =
                RouteRequest.builder(mRunId, new RouteTarget.ServiceTarget(mService.name()))
                        .clientAccount(clientAccount())
                        .excludedEndpoints(mExcluded)
                        .mayHaveBegun(mMayHaveBegun)
                        .build();
        mServices.routing().submit(request, this);
    }

    private void send(Attempt attempt) {
        Optional<Endpoint> endpoint =
                mServices
                        .configuration()
                        .current()
                        .find(Endpoint.class, attempt.endpoint().value());
        if (endpoint.isEmpty() || mEnded) {
            mServices.routing().attemptEnded(attempt.attemptId(), AttemptOutcome.CANCELLED, 0);
            fail(RefusedException.of(ErrorKind.NO_ENDPOINT, "the endpoint is no longer listed"));
            return;
        }
        mAttempt = attempt;
        mTries++;
        mMayHaveBegun = true;
        mExchange.sentTo(endpoint.get().name());
        if (mTries == 1) {
            mServices.routing().firstTry(clientAccount(), endpoint.get().name());
        }
        mClient.call(
                        endpoint.get().address(),
                        new AttemptIdentity(mExchange.requestId(), attempt.attemptId()),
                        mCall,
                        Duration.ofMillis(mRoute.timeoutMilliseconds()))
                .whenComplete((answer, failure) -> run(() -> onAnswer(answer, failure)));
    }

    private void onAnswer(ServiceAnswer answer, Throwable failure) {
        if (mEnded) {
            reportOutcome(
                    failure == null ? ServiceAnswers.outcomeOf(answer) : new CallOutcome.Unknown());
        } else if (failure != null) {
            onNoAnswer(FoxtailridgeException.from(failure));
        } else if (answer.notStarted()) {
            attemptFailed(AttemptOutcome.NOT_STARTED, AttemptProgress.NOT_BEGUN);
        } else {
            endAttempt(AttemptOutcome.FINISHED);
            reportOutcome(ServiceAnswers.outcomeOf(answer));
            finish(answer);
        }
    }

    private void onNoAnswer(FoxtailridgeException failure) {
        boolean mayHaveArrived =
                !(failure instanceof ExchangeFailedException exchange) || exchange.mayHaveArrived();
        if (mayHaveArrived) {
            attemptFailed(AttemptOutcome.FAILED, AttemptProgress.MAY_HAVE_BEGUN);
        } else {
            attemptFailed(AttemptOutcome.UNREACHABLE, AttemptProgress.NOT_BEGUN);
        }
    }

    private void attemptFailed(AttemptOutcome attemptEnd, AttemptProgress progress) {
        if (mEnded || mAttempt == null) {
            return;
        }
        FailedAttempt failed =
                new FailedAttempt(
                        clientAccount(),
                        mAttempt.endpoint().value(),
                        mRoute.idempotent(),
                        progress,
                        mEarlierMayHaveBegun,
                        mTries,
                        mTimes.began().plus(PATIENCE),
                        ErrorKind.ENDPOINT_FAILED);
        mEarlierMayHaveBegun |= progress != AttemptProgress.NOT_BEGUN;
        mMayHaveBegun = mEarlierMayHaveBegun;
        mExcluded.add(mAttempt.endpoint());
        endAttempt(attemptEnd);
        mServices
                .routing()
                .decide(failed)
                .thenAccept(decision -> run(() -> onRetryDecision(decision)));
    }

    private void onRetryDecision(RetryDecision decision) {
        if (decision instanceof RetryDecision.Retry retry) {
            mServices.metrics().retried(mMayHaveBegun ? "failed" : "not_begun");
            mServices.timer().after(retry.delay(), () -> run(this::submit));
        } else if (decision instanceof RetryDecision.GiveUp giveUp) {
            fail(CompletionFailedException.ofService(giveUp.kind(), mService.name()));
        }
    }

    private void endAttempt(AttemptOutcome attemptEnd) {
        if (mAttempt != null) {
            mServices.routing().attemptEnded(mAttempt.attemptId(), attemptEnd, 0);
            mAttempt = null;
        }
    }

    private void finish(ServiceAnswer answer) {
        if (!mEnded) {
            record(answer.status() < LOWEST_FAILURE_STATUS);
            close(mRoute.tokens());
            mExchange.answer(answer.status(), answer.contentType(), answer.body());
        }
    }

    private void fail(FoxtailridgeException failure) {
        if (!mEnded) {
            if (failure.answer().status() >= LOWEST_FAILURE_STATUS) {
                record(false);
            }
            close(failure.answer().executionStarted() == ExecutionStarted.NO ? 0 : mRoute.tokens());
            mExchange.fail(failure);
        }
    }

    private void record(boolean whole) {
        String account = mCaller.map(Caller::clientAccount).orElse(OPEN_ACCOUNT);
        mServices.objectives().record(whole ? mTimes.wholeAtOnce(account) : mTimes.broken(account));
    }

    private void close(long usedTokens) {
        mEnded = true;
        boolean awaitsAnswer = mAttempt != null;
        endAttempt(AttemptOutcome.CANCELLED);
        if (!awaitsAnswer) {
            reportOutcome(mMayHaveBegun ? new CallOutcome.Unknown() : new CallOutcome.NotStarted());
        }
        mServices.routing().forget(mRunId);
        mServices.running().remove(this);
        if (mReservation != null) {
            mServices.limits().settle(mReservation, usedTokens);
        }
    }
}
