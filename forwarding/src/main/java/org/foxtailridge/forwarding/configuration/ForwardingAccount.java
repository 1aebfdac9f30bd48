package org.foxtailridge.forwarding.configuration;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A client account with its rate limit, which all nodes share.
 *
 * @param name name of the client account
 * @param priority priority that overrides the route's, 0 for the highest; empty for the route's
 * @param countsTokens whether the limit applies to tokens; otherwise it applies to requests
 * @param ratePerSecond tokens or requests per second; 0 for no limit
 * @param burst tokens or requests allowed at once beyond the rate
 * @param plainTokens tokens charged for a request that does not state its token counts
 */
public record ForwardingAccount(
        String name,
        OptionalInt priority,
        boolean countsTokens,
        long ratePerSecond,
        long burst,
        long plainTokens) {
    /** Rejects null components. */
    public ForwardingAccount {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
    }

    /** Returns whether requests of the client account count against a limit. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
