package org.foxtailridge.node.caller;

import java.time.Duration;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.configuration.key.KeyHolder;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.node.duty.ConfigurationView;

/** Finds the client account of the key that came with a request. */
@Singleton
final class Authentication {
    private static final String AUTHORIZATION = "Authorization";
    private static final String BEARER = "Bearer ";

    private final ConfigurationView mConfiguration;

    @Inject
    Authentication(ConfigurationView configuration) {
        mConfiguration = configuration;
    }

    /**
     * Returns who calls.
     *
     * @throws RefusedException with kind {@code KEY_REFUSED} unless the key belongs to an account,
     *     and {@code CONFIGURATION_STALE} when this node may have missed a withdrawal for longer
     *     than the plan allows
     */
    Caller authenticate(CallerExchange exchange) {
        KeyHolder holder =
                keyOf(exchange.header(AUTHORIZATION))
                        .flatMap(key -> mConfiguration.keys().find(key))
                        .orElseThrow(RefusedException::keyRefused);
        requireFresh(holder.plan());
        return new Caller(holder.key().name(), holder.account().name(), holder.plan());
    }

    private static Optional<String> keyOf(Optional<String> authorization) {
        return authorization
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> value.substring(BEARER.length()).trim());
    }

    private void requireFresh(Plan plan) {
        Duration allowed = Duration.ofSeconds(plan.maximumStalenessSeconds());
        Duration actual = mConfiguration.staleness();
        if (actual.compareTo(allowed) > 0) {
            throw RefusedException.configurationStale(allowed, actual);
        }
    }
}
