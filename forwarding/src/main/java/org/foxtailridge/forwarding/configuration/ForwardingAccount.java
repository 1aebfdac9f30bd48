package org.foxtailridge.forwarding.configuration;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A client account with its limit over all nodes.
 *
 * @param name name of the client account
 * @param priority rank that replaces the route's; 0 is the most urgent; empty for the route's
 * @param countsTokens whether the limit counts tokens; otherwise it counts requests
 * @param ratePerSecond tokens or requests a second; 0 for no limit
 * @param burst tokens or requests at once beyond the rate
 * @param plainTokens tokens that a request counts that doesn't say how many it uses
 */
public record ForwardingAccount(
        String name,
        OptionalInt priority,
        boolean countsTokens,
        long ratePerSecond,
        long burst,
        long plainTokens) {
    /** Checks that no part is missing. */
    public ForwardingAccount {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
    }

    /** Returns whether there is a limit. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
