package org.foxtailridge.node.caller;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.ServiceRoute;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.platform.engine.AttemptIdentity;
import org.foxtailridge.platform.http.ExchangeFailedException;
import org.foxtailridge.platform.service.ServiceAnswer;
import org.foxtailridge.platform.service.ServiceCall;
import org.foxtailridge.platform.service.ServiceClient;
import org.foxtailridge.routing.AttemptEnd;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.RoutingDecision;

/** One call of a plain service from admission to the answer. */
final class ServiceRun implements RunningRequest {
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final String[] FORWARDED_HEADERS = {
        "Content-Type", "Accept", "Accept-Language", "Idempotency-Key"
    };

    private final CompletionServices mServices;
    private final ServiceClient mClient;
    private final CallerExchange mExchange;
    private final Optional<Caller> mCaller;
    private final Service mService;
    private final ServiceRoute mRoute;
    private final ServiceCall mCall;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final Set<EndpointName> mExcluded = new HashSet<>();
    private volatile Reservation mReservation;
    private volatile AttemptIdentity mAttempt;
    private volatile Endpoint mEndpoint;
    private int mAttempts;

    ServiceRun(
            CompletionServices services,
            ServiceClient client,
            CallerExchange exchange,
            Optional<Caller> caller,
            Service service,
            ServiceRoute route,
            String target,
            byte[] body) {
        mServices = services;
        mClient = client;
        mExchange = exchange;
        mCaller = caller;
        mService = service;
        mRoute = route;
        mCall = new ServiceCall(exchange.method(), target, forwardedHeaders(exchange), body);
    }

    /** Starts the call; it ends by itself. */
    void start() {
        mServices.running().add(this);
        if (mCaller.isEmpty() || mRoute.tokens() == 0) {
            route();
            return;
        }
        mServices
                .limits()
                .reserve(ClientAccountName.of(clientAccount()), mRoute.tokens())
                .whenComplete(this::onReserved);
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
        fail(CompletionFailedException.keyWithdrawn(mEndpoint != null));
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
        mReservation = reservation;
        if (mEnded.get()) {
            mServices.limits().settle(reservation, 0);
            return;
        }
        route();
    }

    private void route() {
        mAttempts++;
        String attemptId = mServices.identifiers().next();
        mAttempt = new AttemptIdentity(mExchange.requestId(), attemptId);
        RouteRequest request =
                RouteRequest.builder(
                                mExchange.requestId(),
                                new RouteTarget.ServiceTarget(mService.name()))
                        .clientAccount(clientAccount())
                        .excluded(mExcluded)
                        .build();
        mServices.routing().dispatch(attemptId, request).whenComplete(this::onDispatch);
    }

    private void onDispatch(RoutingDecision.Dispatch dispatch, Throwable failure) {
        if (failure != null) {
            fail(FoxtailridgeException.from(failure));
            return;
        }
        Optional<Endpoint> endpoint =
                mServices
                        .configuration()
                        .current()
                        .find(Endpoint.class, dispatch.endpoint().value());
        if (endpoint.isEmpty() || mEnded.get()) {
            endAttempt(AttemptEnd.NOT_STARTED);
            fail(
                    RefusedException.of(
                            ErrorKind.NO_ENDPOINT, "the chosen endpoint is no longer listed"));
            return;
        }
        mEndpoint = endpoint.get();
        mExchange.sentTo(mEndpoint.name());
        mClient.call(
                        mEndpoint.address(),
                        mAttempt,
                        mCall,
                        Duration.ofMillis(mRoute.timeoutMilliseconds()))
                .whenComplete(this::onAnswer);
    }

    private void onAnswer(ServiceAnswer answer, Throwable failure) {
        if (failure != null) {
            onExchangeFailed(FoxtailridgeException.from(failure));
            return;
        }
        if (answer.notStarted()) {
            endAttempt(AttemptEnd.NOT_STARTED);
            retryOrFail(
                    true,
                    RefusedException.of(
                            ErrorKind.NO_ENDPOINT, "every endpoint refused before it began"));
            return;
        }
        endAttempt(AttemptEnd.FINISHED);
        if (beginEnd()) {
            settle(mRoute.tokens());
            mExchange.answer(answer.status(), answer.contentType(), answer.body());
        }
    }

    private void onExchangeFailed(FoxtailridgeException failure) {
        boolean mayHaveArrived =
                !(failure instanceof ExchangeFailedException exchange) || exchange.mayHaveArrived();
        endAttempt(mayHaveArrived ? AttemptEnd.FAILED : AttemptEnd.NOT_STARTED);
        FoxtailridgeException answer =
                mayHaveArrived
                        ? CompletionFailedException.beforeFirstToken(
                                mEndpoint.name(), "a broken connection")
                        : RefusedException.of(
                                ErrorKind.NO_ENDPOINT, "no endpoint could be reached");
        retryOrFail(mRoute.idempotent() || !mayHaveArrived, answer);
    }

    private void retryOrFail(boolean mayRetry, FoxtailridgeException failure) {
        if (!mayRetry || mAttempts >= MAXIMUM_ATTEMPTS || mEnded.get()) {
            fail(failure);
            return;
        }
        mExcluded.add(EndpointName.of(mEndpoint.name()));
        route();
    }

    private void endAttempt(AttemptEnd attemptEnd) {
        mServices.routing().attemptEnded(mAttempt.attemptId(), attemptEnd);
    }

    private void fail(FoxtailridgeException failure) {
        if (beginEnd()) {
            settle(
                    failure.answer().ran() == org.foxtailridge.core.error.Ran.NO
                            ? 0
                            : mRoute.tokens());
            mExchange.fail(failure);
        }
    }

    private void settle(long usedTokens) {
        if (mReservation != null) {
            mServices.limits().settle(mReservation, usedTokens);
        }
    }

    private boolean beginEnd() {
        if (!mEnded.compareAndSet(false, true)) {
            return false;
        }
        mServices.running().remove(this);
        return true;
    }
}
