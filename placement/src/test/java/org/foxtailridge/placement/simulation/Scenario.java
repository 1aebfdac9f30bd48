package org.foxtailridge.placement.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.UnaryOperator;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.WeightStore;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.placement.Placement;
import org.foxtailridge.placement.order.OrderSettings;

/** Three nodes and three engines, one of which ignores fencing numbers. */
final class Scenario {
    static final List<String> MODELS = List.of("a", "b", "c", "d");
    static final double LOADS_PER_SECOND = 1.5;
    static final int LOADS_AT_ONCE = 3;
    static final OrderSettings SETTINGS =
            OrderSettings.builder().lateOrderTime(Duration.ofSeconds(15)).build();
    private static final long MEMORY_BYTES = 100;

    private Scenario() {}

    static Simulation simulation(
            long seed, SimulationSettings settings, UnaryOperator<Placement.Builder> mutation) {
        ManualClock clock = ManualClock.at(Instant.EPOCH.plusSeconds(1_000));
        Simulation simulation =
                new Simulation(
                        seed,
                        settings,
                        clock,
                        node ->
                                mutation.apply(
                                                Placement.builder(node, node, clock)
                                                        .orders(SETTINGS))
                                        .build());
        for (int index = 0; index < 3; index++) {
            simulation.engine(
                    new SimulatedEngine(
                            "engine-" + index, "dc-" + index, MEMORY_BYTES, index != 1));
        }
        simulation.nodes(3);
        simulation.configuration(configuration().build());
        return simulation;
    }

    static Configuration.Builder configuration() {
        Configuration.Builder configuration = Configuration.builder().offset(1);
        for (int index = 0; index < 3; index++) {
            configuration.put(endpoint(index, false));
        }
        MODELS.forEach(name -> configuration.put(model(name, "1")));
        return configuration.put(new WeightStore("default", LOADS_PER_SECOND, LOADS_AT_ONCE, 5));
    }

    static Model model(String name, String version) {
        return new Model(name, version, 30, 10, List.of(), 4096);
    }

    static Endpoint endpoint(int index, boolean leaving) {
        return new Endpoint(
                "engine-" + index,
                EndpointKind.ENGINE,
                "pool",
                "dc-" + index,
                "http://127.0.0.1:1",
                MEMORY_BYTES,
                1,
                index != 1,
                leaving);
    }
}
