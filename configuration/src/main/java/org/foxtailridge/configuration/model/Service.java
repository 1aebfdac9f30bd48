package org.foxtailridge.configuration.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A plain service.
 *
 * @param name name of the service, the first part of the path below {@code /services/}
 * @param pool pool of the endpoints that run it
 * @param routes its routes; the first that matches a call counts
 */
public record Service(String name, String pool, List<ServiceRoute> routes)
        implements ConfigurationEntry {
    /** Checks that no part is missing and copies the lists. */
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(pool, "pool");
        routes = routes == null ? List.of() : List.copyOf(routes);
    }

    /** Returns the first route that serves the method and path. */
    public Optional<ServiceRoute> route(String method, String path) {
        return routes.stream().filter(route -> route.matches(method, path)).findFirst();
    }
}
