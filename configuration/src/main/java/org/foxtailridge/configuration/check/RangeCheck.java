package org.foxtailridge.configuration.check;

import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Measure;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.ServiceRoute;
import org.foxtailridge.configuration.model.WeightStore;

/** Every number is inside its range. */
final class RangeCheck implements ConfigurationCheck {
    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        configuration.all(Plan.class).forEach(plan -> checkPlan(plan, problems));
        configuration.all(Model.class).forEach(model -> checkModel(model, problems));
        configuration.all(Endpoint.class).forEach(endpoint -> checkEndpoint(endpoint, problems));
        configuration.all(Service.class).forEach(service -> checkService(service, problems));
        configuration.all(Objective.class).forEach(entry -> checkObjective(entry, problems));
        for (Adapter adapter : configuration.all(Adapter.class)) {
            problems.requireAtLeast(adapter, "bytes", 1, adapter.bytes());
        }
        for (WeightStore store : configuration.all(WeightStore.class)) {
            problems.requireAbove(store, "loads_per_second", 0, store.loadsPerSecond());
            problems.requireAtLeast(store, "loads_at_full_speed", 1, store.loadsAtFullSpeed());
            problems.requireAtLeast(store, "adapters_in_transit", 1, store.adaptersInTransit());
        }
    }

    private static void checkPlan(Plan plan, ProblemSink problems) {
        problems.requireAtLeast(plan, "rate_tokens_per_second", 1, plan.rateTokensPerSecond());
        problems.requireAtLeast(plan, "burst_tokens", 1, plan.burstTokens());
        problems.requireAtLeast(
                plan, "maximum_staleness_seconds", 1, plan.maximumStalenessSeconds());
        problems.requireAtLeast(plan, "maximum_connections", 1, plan.maximumConnections());
    }

    private static void checkModel(Model model, ProblemSink problems) {
        problems.requireAtLeast(model, "weights_bytes", 1, model.weightsBytes());
        problems.requireAtLeast(model, "working_bytes", 0, model.workingBytes());
        problems.requireAtLeast(model, "context_tokens", 1, model.contextTokens());
    }

    private static void checkEndpoint(Endpoint endpoint, ProblemSink problems) {
        boolean engine = endpoint.kind() == EndpointKind.ENGINE;
        problems.requireAtLeast(endpoint, "memory_bytes", engine ? 1 : 0, endpoint.memoryBytes());
        problems.requireAtLeast(endpoint, "accelerators", engine ? 1 : 0, endpoint.accelerators());
    }

    private static void checkService(Service service, ProblemSink problems) {
        for (ServiceRoute route : service.routes()) {
            problems.requireAtLeast(service, "route.tokens", 0, route.tokens());
            problems.requireAtLeast(
                    service, "route.timeout_milliseconds", 1, route.timeoutMilliseconds());
        }
    }

    private static void checkObjective(Objective objective, ProblemSink problems) {
        boolean timed = objective.measure() != Measure.AVAILABILITY;
        problems.requireAtLeast(
                objective,
                "threshold_milliseconds",
                timed ? 1 : 0,
                objective.thresholdMilliseconds());
        problems.requireAtLeast(objective, "window_seconds", 1, objective.windowSeconds());
        problems.requireAbove(objective, "target", 0, objective.target());
        if (objective.target() >= 1) {
            problems.add(
                    ProblemKind.OUT_OF_RANGE,
                    objective,
                    "target",
                    "expected less than 1 but was " + objective.target());
        }
    }
}
