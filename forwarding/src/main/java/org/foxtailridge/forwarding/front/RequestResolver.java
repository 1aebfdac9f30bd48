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

/** Decides under which terms a request runs, by the configuration in force when it came. */
final class RequestResolver {
    private final ForwardingConfiguration mConfiguration;
    private final RandomGenerator mRandom;

    RequestResolver(ForwardingConfiguration configuration, RandomGenerator random) {
        mConfiguration = configuration;
        mRandom = random;
    }

    RequestResolution decide(RequestMetadata facts, CallerExchange exchange, String runId) {
        Optional<ForwardingRoute> found = mConfiguration.route(facts.host(), facts.target());
        if (found.isEmpty()) {
            return RequestResolution.refuse(ErrorKind.UNKNOWN_SERVICE, "no route matches");
        }
        ForwardingRoute route = found.get();
        boolean needsKey = mConfiguration.hasAccounts() && !route.open();
        Optional<ForwardingAccount> account =
                needsKey ? facts.key().flatMap(mConfiguration::accountOfKey) : Optional.empty();
        if (needsKey && account.isEmpty()) {
            String reason = facts.key().isEmpty() ? "no key is shown" : "nobody has the key";
            return RequestResolution.refuse(ErrorKind.KEY_REFUSED, reason);
        }
        String service = route.service(mRandom.nextDouble());
        if (isUnlistedModel(service, facts)) {
            return RequestResolution.refuse(
                    ErrorKind.UNKNOWN_MODEL, "service " + service + " lists no such model");
        }
        long arrived = exchange.arrivedMilliseconds();
        long timeout = route.timeout().toMillis();
        long time = Math.min(timeout, facts.timeoutMilliseconds().orElse(timeout));
        return RequestResolution.accept(
                new ResolvedRequest(
                        runId,
                        facts,
                        route,
                        service,
                        account,
                        arrived,
                        arrived + time,
                        account.map(known -> countedTokens(known, facts)).orElse(0L)));
    }

    private boolean isUnlistedModel(String service, RequestMetadata facts) {
        Optional<EnginePool> engines =
                mConfiguration.service(service).flatMap(ForwardingService::engines);
        return engines.isPresent()
                && facts.model().isPresent()
                && engines.get().model(facts.model().get().model()).isEmpty();
    }

    private static long countedTokens(ForwardingAccount account, RequestMetadata facts) {
        if (!account.isLimited()) {
            return 0;
        }
        return account.countsTokens()
                ? Math.max(1, facts.countedTokens().orElse(account.plainTokens()))
                : 1;
    }
}
