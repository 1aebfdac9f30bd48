package org.foxtailridge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;

/** Test fixtures: endpoints, load reports and requests. */
public final class RoutingFixtures {
    private RoutingFixtures() {}

    /** Returns the configuration of an engine. */
    public static Endpoint engine(String name, String pool, String dataCentre) {
        return new Endpoint(
                name, EndpointKind.ENGINE, pool, dataCentre, "http://e", 1, 1, true, false);
    }

    /** Returns a load report of an engine with version v1 of the models resident. */
    public static LoadReport report(
            long incarnation,
            long asOfMilliseconds,
            int running,
            int waiting,
            List<String> models) {
        List<Resident> residents = new ArrayList<>();
        models.forEach(model -> residents.add(Resident.model(model, "v1")));
        return new LoadReport(
                incarnation,
                asOfMilliseconds,
                running,
                waiting,
                1,
                0,
                EngineRole.BOTH,
                false,
                residents);
    }

    /** Returns a builder of a request for version v1 of a model. */
    public static RouteRequest.Builder request(String requestId, String model) {
        return RouteRequest.builder(
                        requestId, new RouteTarget.ModelTarget(model, "v1", Optional.empty()))
                .promptTokens(100)
                .maximumTokens(20);
    }
}
