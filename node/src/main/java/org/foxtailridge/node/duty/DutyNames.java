package org.foxtailridge.node.duty;

import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;

/** Names of the duties that one node at a time does. */
final class DutyNames {
    /** Decides which models are moved where. */
    static final String PLANNING = "planning";

    /** Appends snapshots of the configuration. */
    static final String SNAPSHOT = "snapshot";

    private static final String HOME = "home:";
    private static final String ORDERS = "orders:";

    private DutyNames() {}

    /** Returns the duty to keep the tokens of a client account. */
    static String homeOf(String clientAccount) {
        return HOME + clientAccount;
    }

    /** Returns the duty to give orders to an endpoint. */
    static String ordersOf(String endpoint) {
        return ORDERS + endpoint;
    }

    /** Returns all duties that a configuration leads to. */
    static List<String> of(Configuration configuration) {
        List<String> duties = new ArrayList<>();
        duties.add(PLANNING);
        duties.add(SNAPSHOT);
        for (ClientAccount account : configuration.all(ClientAccount.class)) {
            duties.add(homeOf(account.name()));
        }
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            if (endpoint.kind() == EndpointKind.ENGINE) {
                duties.add(ordersOf(endpoint.name()));
            }
        }
        return duties;
    }
}
