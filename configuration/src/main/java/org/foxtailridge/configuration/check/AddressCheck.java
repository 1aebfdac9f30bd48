package org.foxtailridge.configuration.check;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;

/** Addresses of endpoints are HTTP addresses, each of one endpoint. */
final class AddressCheck implements ConfigurationCheck {
    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        Map<String, Endpoint> seen = new HashMap<>();
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            if (!isHttpAddress(endpoint.address())) {
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

    private static boolean isHttpAddress(String address) {
        try {
            URI uri = new URI(address);
            boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return http && uri.getHost() != null && uri.getPort() > 0;
        } catch (URISyntaxException malformed) {
            return false;
        }
    }
}
