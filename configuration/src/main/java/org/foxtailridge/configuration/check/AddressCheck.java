package org.foxtailridge.configuration.check;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;

/** Addresses of endpoints are HTTP addresses, each of one endpoint. */
final class AddressCheck implements ConfigurationCheck {
    private static final Pattern HTTP_ADDRESS =
            Pattern.compile("https?://([A-Za-z0-9.-]+|\\[[0-9A-Fa-f:.]+]):[1-9][0-9]{0,4}(/.*)?");

    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        Map<String, Endpoint> seen = new HashMap<>();
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            if (!HTTP_ADDRESS.matcher(endpoint.address()).matches()) {
                String message =
                        "expected http://HOST:PORT or https://HOST:PORT but was \""
                                + endpoint.address()
                                + "\"";
                problems.add(ProblemKind.BAD_ADDRESS, endpoint, "address", message);
            }
            Endpoint same = seen.putIfAbsent(endpoint.address(), endpoint);
            if (same != null) {
                String message =
                        "expected an address of its own but endpoint "
                                + same.name()
                                + " has "
                                + endpoint.address()
                                + " too";
                problems.add(ProblemKind.DUPLICATE, endpoint, "address", message);
            }
        }
    }
}
