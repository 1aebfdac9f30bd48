package org.foxtailridge.placement.plan;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.core.error.ErrorKind;
import org.junit.jupiter.api.Test;

/** Checks feasibility and the planner against a search of all assignments. */
class FeasibilityTest {
    @Property(seed = "501", tries = 3_000)
    void should_agree_with_a_search_of_all_assignments(
            @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 10, max = 70) Integer> models,
            @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 40, max = 120) Integer> memory) {
        // GIVEN
        Configuration configuration = configuration(models, memory);
        // WHEN
        boolean feasible =
                Feasibility.of(configuration, PlannerSettings.defaults()).failure().isEmpty();
        // THEN
        assertThat(feasible).isEqualTo(fitsWithSpare(models, memory));
    }

    @Property(seed = "502", tries = 3_000)
    void should_plan_a_home_for_every_model_of_a_feasible_list(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 10, max = 70) Integer> models,
            @ForAll @Size(min = 2, max = 4) List<@IntRange(min = 60, max = 120) Integer> memory) {
        // GIVEN
        if (!fitsWithSpare(models, memory)) {
            return;
        }
        PlannedFleet fleet = new PlannedFleet(PlannerSettings.defaults());
        for (int index = 0; index < memory.size(); index++) {
            fleet.add("e-" + index, "dc-" + index % 2, memory.get(index));
        }
        for (int index = 0; index < models.size(); index++) {
            fleet.model("m-" + index, "1", models.get(index));
            // WHEN models are listed one after the other
            fleet.rounds(12);
        }
        // THEN
        assertThat(fleet.mModels.keySet()).allMatch(fleet::isReachable);
        assertThat(fleet.mViolations).isEmpty();
    }

    @Test
    void should_show_the_arithmetic() {
        // GIVEN
        Configuration configuration = configuration(List.of(50, 60), List.of(100));
        // WHEN
        InfeasiblePlacementException failure =
                Feasibility.of(configuration, PlannerSettings.defaults()).failure().orElseThrow();
        // THEN
        assertThat(failure.kind()).isEqualTo(ErrorKind.CONFIGURATION_INVALID);
        assertThat(failure)
                .hasMessageContaining("m-1, 60 bytes")
                .hasMessageContaining("is 40 bytes")
                .hasMessageContaining("need 170 bytes of the 100 bytes");
    }

    private static Configuration configuration(List<Integer> models, List<Integer> memory) {
        Configuration.Builder builder = Configuration.builder();
        for (int index = 0; index < models.size(); index++) {
            builder.put(new Model("m-" + index, "1", models.get(index), 0, List.of(), 4096));
        }
        for (int index = 0; index < memory.size(); index++) {
            builder.put(
                    new Endpoint(
                            "e-" + index,
                            EndpointKind.ENGINE,
                            "pool",
                            "dc",
                            "http://127.0.0.1:1",
                            memory.get(index),
                            1,
                            true,
                            false));
        }
        return builder.build();
    }

    /** Tries every assignment of the models, and of a second copy of the largest elsewhere. */
    private static boolean fitsWithSpare(List<Integer> models, List<Integer> memory) {
        int largest = models.indexOf(models.stream().max(Integer::compare).orElseThrow());
        long assignments = (long) Math.pow(memory.size(), models.size() + 1);
        for (long number = 0; number < assignments; number++) {
            if (isAssignment(number, models, memory, largest)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isAssignment(
            long number, List<Integer> models, List<Integer> memory, int largest) {
        int[] free = memory.stream().mapToInt(Integer::intValue).toArray();
        int spare = (int) (number % memory.size());
        free[spare] -= models.get(largest);
        long rest = number / memory.size();
        for (int model = 0; model < models.size(); model++) {
            int at = (int) (rest % memory.size());
            rest /= memory.size();
            free[at] -= models.get(model);
            if (free[at] < 0 || model == largest && at == spare) {
                return false;
            }
        }
        return free[spare] >= 0;
    }
}
