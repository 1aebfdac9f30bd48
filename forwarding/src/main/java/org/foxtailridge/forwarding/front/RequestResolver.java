package org.foxtailridge.forwarding.front;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.configuration.EnginePool;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;
import org.foxtailridge.forwarding.configuration.ForwardingService;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.request.RequestMetadata;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Resolves a request against the configuration in force on its arrival: route, client account,
 * service, deadline and counted tokens. Refuses a request without a route, with a missing or
 * unknown API key, or for a model that its service does not list.
 */
final class RequestResolver {
    private final ForwardingConfiguration mConfiguration;
    private final RandomGenerator mRandom;

    RequestResolver(ForwardingConfiguration configuration, RandomGenerator random) {
        mConfiguration = configuration;
        mRandom = random;
    }

    RequestResolution resolve(RequestMetadata metadata, CallerExchange exchange, String runId) {
        Optional<ForwardingRoute> found = mConfiguration.route(metadata.host(), metadata.target());
        if (found.isEmpty()) {
            return RequestResolution.refuse(ErrorKind.UNKNOWN_SERVICE, "no route matches");
        }
        ForwardingRoute route = found.get();
        boolean needsKey = mConfiguration.hasAccounts() && !route.open();
        Optional<ForwardingAccount> account =
                needsKey ? metadata.key().flatMap(mConfiguration::accountOfKey) : Optional.empty();
        if (needsKey && account.isEmpty()) {
            String reason =
                    metadata.key().isEmpty()
                            ? "request has no API key"
                            : "API key belongs to no client account";
            return RequestResolution.refuse(ErrorKind.KEY_REFUSED, reason);
        }
        String service = route.service(mRandom.nextDouble());
        if (isUnlistedModel(service, metadata)) {
            return RequestResolution.refuse(
                    ErrorKind.UNKNOWN_MODEL,
                    "service " + service + " does not list the requested model");
        }
        long arrived = exchange.arrivedMilliseconds();
        long timeout = route.timeout().toMillis();
        long time = Math.min(timeout, metadata.timeoutMilliseconds().orElse(timeout));
        return RequestResolution.accept(
                new ResolvedRequest(
                        runId,
                        metadata,
                        route,
                        service,
                        account,
                        arrived,
                        arrived + time,
                        account.map(known -> countedTokens(known, metadata)).orElse(0L)));
    }

    private boolean isUnlistedModel(String service, RequestMetadata metadata) {
        Optional<EnginePool> engines =
                mConfiguration.service(service).flatMap(ForwardingService::engines);
        return engines.isPresent()
                && metadata.model().isPresent()
                && engines.get().model(metadata.model().get().model()).isEmpty();
    }

    private static long countedTokens(ForwardingAccount account, RequestMetadata metadata) {
        if (!account.isLimited()) {
            return 0;
        }
        return account.countsTokens()
                ? Math.max(1, metadata.countedTokens().orElse(account.plainTokens()))
                : 1;
    }
}
