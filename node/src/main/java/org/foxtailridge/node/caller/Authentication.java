package org.foxtailridge.node.caller;

import java.util.Optional;
import org.foxtailridge.configuration.key.KeyHashing;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Plan;

/** Finds the client account of the key that came with a request. */
final class Authentication {
    private static final String BEARER = "Bearer ";

    private Authentication() {}

    /**
     * Returns who calls.
     *
     * @param authorization value of the {@code Authorization} header
     * @throws RefusedException with kind {@code KEY_REFUSED} unless the key belongs to an account
     */
    static Caller authenticate(Configuration configuration, Optional<String> authorization) {
        String key =
                authorization
                        .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                        .map(value -> value.substring(BEARER.length()).trim())
                        .orElseThrow(RefusedException::keyRefused);
        CallerKey entry =
                KeyHashing.identifierOf(key)
                        .flatMap(name -> configuration.find(CallerKey.class, name))
                        .filter(listed -> KeyHashing.matches(key, listed))
                        .orElseThrow(RefusedException::keyRefused);
        return callerOf(configuration, entry);
    }

    private static Caller callerOf(Configuration configuration, CallerKey entry) {
        ClientAccount account =
                configuration
                        .find(ClientAccount.class, entry.clientAccount())
                        .orElseThrow(RefusedException::keyRefused);
        Plan plan =
                configuration
                        .find(Plan.class, account.plan())
                        .orElseThrow(RefusedException::keyRefused);
        return new Caller(entry.name(), account.name(), plan);
    }
}
