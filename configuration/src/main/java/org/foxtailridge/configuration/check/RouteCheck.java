package org.foxtailridge.configuration.check;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.ServiceRoute;

/** Routes are well formed and differ; a service has endpoints once any are listed. */
final class RouteCheck implements ConfigurationCheck {
    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        Set<String> pools =
                configuration.all(Endpoint.class).stream()
                        .filter(endpoint -> endpoint.kind() == EndpointKind.SERVICE)
                        .map(Endpoint::pool)
                        .collect(Collectors.toSet());
        for (Service service : configuration.all(Service.class)) {
            checkRoutes(service, problems);
            if (!pools.isEmpty() && !pools.contains(service.pool())) {
                String message =
                        "expected a pool with endpoints of kind service but was \""
                                + service.pool()
                                + "\"";
                problems.add(ProblemKind.NO_POOL, service, "pool", message);
            }
        }
    }

    private static void checkRoutes(Service service, ProblemSink problems) {
        Set<String> seen = new HashSet<>();
        for (ServiceRoute route : service.routes()) {
            if (!route.path().startsWith("/")) {
                String message = "expected a path from / on but was \"" + route.path() + "\"";
                problems.add(ProblemKind.OUT_OF_RANGE, service, "route.path", message);
            }
            String served = route.method() + " " + route.path();
            if (!seen.add(served)) {
                String message = "expected one route for each method and path but was " + served;
                problems.add(ProblemKind.DUPLICATE, service, "route", message + " twice");
            }
        }
    }
}
