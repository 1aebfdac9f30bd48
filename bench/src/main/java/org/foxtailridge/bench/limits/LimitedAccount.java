package org.foxtailridge.bench.limits;

import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.limits.TokenLimit;

/**
 * A client account and how much it asks for.
 *
 * @param name client account
 * @param limit its limit
 * @param load tokens that it uses, as a share of its rate
 */
record LimitedAccount(ClientAccountName name, TokenLimit limit, double load) {
    static LimitedAccount of(String name, long rate, long burst, double load) {
        return new LimitedAccount(ClientAccountName.of(name), TokenLimit.of(rate, burst), load);
    }
}
