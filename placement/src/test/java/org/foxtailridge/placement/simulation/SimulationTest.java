package org.foxtailridge.placement.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.WeightStore;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.placement.Placement;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that every listed model gets a home. */
class SimulationTest {
    private static final List<String> MODELS = List.of("a", "b", "c", "d", "e");

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void should_load_every_listed_model(long seed) {
        // GIVEN
        Simulation simulation = simulation(seed, SimulationSettings.CALM);
        // WHEN
        simulation.run(Duration.ofSeconds(40));
        // THEN
        assertThat(MODELS).allMatch(simulation::isReachable);
        assertThat(simulation.violations()).isEmpty();
    }

    private static Simulation simulation(long seed, SimulationSettings settings) {
        ManualClock clock = ManualClock.at(Instant.EPOCH.plusSeconds(1_000));
        Simulation simulation =
                new Simulation(
                        seed,
                        settings,
                        clock,
                        node -> Placement.builder(node, node, clock).build());
        Configuration.Builder configuration = Configuration.builder().offset(1);
        for (int index = 0; index < 3; index++) {
            String name = "engine-" + index;
            boolean honours = index != 1;
            simulation.engine(new SimulatedEngine(name, "dc-" + index, 100, honours));
            configuration.put(
                    new Endpoint(
                            name,
                            EndpointKind.ENGINE,
                            "pool",
                            "dc-" + index,
                            "http://127.0.0.1:1",
                            100,
                            1,
                            honours,
                            false));
        }
        MODELS.forEach(name -> configuration.put(new Model(name, "1", 30, 10, List.of(), 4096)));
        configuration.put(new WeightStore("default", 1.5, 7, 55));
        simulation.nodes(3);
        simulation.configuration(configuration.build());
        return simulation;
    }
}
