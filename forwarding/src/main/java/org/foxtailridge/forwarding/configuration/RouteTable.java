package org.foxtailridge.forwarding.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Lookup of routes by host and longest matching path prefix. Immutable. */
public final class RouteTable {
    private final Map<String, List<ForwardingRoute>> mByHost = new HashMap<>();

    /** Creates a table; the host names of routes are matched without regard to case. */
    public RouteTable(List<ForwardingRoute> routes) {
        for (ForwardingRoute route : routes) {
            mByHost.computeIfAbsent(normalizeHost(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<ForwardingRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        mByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Returns the route of a request; empty if none matches.
     *
     * @param host host of the request, with or without a port
     * @param target path of the request, with or without a query
     */
    public Optional<ForwardingRoute> find(String host, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return mByHost.getOrDefault(normalizeHost(withoutPort(host)), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        boolean isBareIpv6Literal = host.endsWith("]");
        return colon < 0 || isBareIpv6Literal ? host : host.substring(0, colon);
    }

    private static String normalizeHost(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
