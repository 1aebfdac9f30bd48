package org.foxtailridge.node.caller;

import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.clients.service.ServiceClient;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.ServiceRoute;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.execution.claim.ClaimCall;
import org.foxtailridge.node.duty.ClaimsDuty;

/** Serves {@code ANY /services/{service}/…}. */
@Singleton
final class ServiceHandler {
    private final CompletionServices mServices;
    private final ServiceClient mClient;
    private final ClaimsDuty mClaims;
    private final Authentication mAuthentication;

    @Inject
    ServiceHandler(
            CompletionServices services,
            ServiceClient client,
            ClaimsDuty claims,
            Authentication authentication) {
        mAuthentication = authentication;
        mServices = services;
        mClient = client;
        mClaims = claims;
    }

    void handle(CallerExchange exchange, String target) {
        Configuration configuration = mServices.configuration().current();
        int separator = target.indexOf('/');
        String name = separator < 0 ? target : target.substring(0, separator);
        String path = separator < 0 ? "/" : target.substring(separator);
        Service service =
                configuration
                        .find(Service.class, name)
                        .orElseThrow(() -> RefusedException.unknownService(target));
        ServiceRoute route =
                service.route(exchange.method(), path)
                        .orElseThrow(() -> RefusedException.unknownService(target));
        Optional<Caller> caller = callerOf(exchange, service, route);
        requireIdempotencyKeyLength(exchange);
        exchange.describe("service", caller.map(Caller::clientAccount).orElse(""));
        exchange.body()
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                exchange.fail(FoxtailridgeException.from(failure));
                            } else {
                                new ServiceRun(
                                                mServices,
                                                mClient,
                                                mClaims,
                                                exchange,
                                                caller,
                                                service,
                                                route,
                                                path + exchange.query(),
                                                body)
                                        .start();
                            }
                        });
    }

    private Optional<Caller> callerOf(
            CallerExchange exchange, Service service, ServiceRoute route) {
        if (route.open()) {
            return Optional.empty();
        }
        Caller caller = mAuthentication.authenticate(exchange);
        caller.requireService(service.name());
        mServices.running().requireRoom(caller);
        return Optional.of(caller);
    }

    private static void requireIdempotencyKeyLength(CallerExchange exchange) {
        Optional<String> key = exchange.header("Idempotency-Key");
        boolean allowed =
                key.isEmpty()
                        || (!key.get().isEmpty()
                                && key.get().length() <= ClaimCall.MAXIMUM_KEY_CHARACTERS);
        if (!allowed) {
            throw MalformedRequestException.badHeader(
                    "Idempotency-Key", "1 to " + ClaimCall.MAXIMUM_KEY_CHARACTERS + " characters");
        }
    }
}
