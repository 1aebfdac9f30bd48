package org.foxtailridge.placement.plan;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks what the planner does when models, demand and endpoints change. */
class PlacementPlannerTest {
    private static final List<String> MODELS = List.of("a", "b", "c", "d", "e", "f");
    private static final double BUSY_TOKENS_PER_SECOND = 2_500;

    private static PlannedFleet fleet() {
        PlannedFleet fleet = new PlannedFleet(PlannerSettings.defaults()).endpoints(3, 2, 100);
        MODELS.forEach(model -> fleet.model(model, "1", 24));
        return fleet.rounds(20);
    }

    @Test
    void should_cover_every_data_centre_where_memory_allows() {
        // WHEN
        PlannedFleet fleet = fleet();
        // THEN
        for (String model : MODELS) {
            assertThat(
                            fleet.mEndpoints.values().stream()
                                    .filter(endpoint -> endpoint.serves(model))
                                    .map(endpoint -> endpoint.mDataCentre)
                                    .distinct())
                    .hasSize(3);
        }
        assertThat(fleet.mUnloads).isEmpty();
    }

    @Test
    void should_be_still_once_everything_is_in_place() {
        // GIVEN
        PlannedFleet fleet = fleet();
        int loads = fleet.mLoads.size();
        // WHEN
        fleet.rounds(100);
        // THEN
        assertThat(fleet.mLoads).hasSize(loads);
    }

    @Test
    void should_give_a_busy_model_more_copies() {
        // GIVEN
        PlannedFleet fleet = fleet();
        long copies = fleet.copies("a");
        fleet.rounds(600);
        // WHEN
        fleet.mPlanner.demand("a", 4 * BUSY_TOKENS_PER_SECOND);
        fleet.rounds(60);
        // THEN
        assertThat(fleet.copies("a")).isGreaterThan(copies);
        assertThat(MODELS).allMatch(fleet::isReachable);
        assertThat(fleet.mViolations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 20, 60})
    void should_not_follow_demand_that_swings_faster_than_a_copy_may_move(int swingRounds) {
        // GIVEN
        PlannedFleet fleet = new PlannedFleet(PlannerSettings.defaults()).endpoints(3, 1, 60);
        List.of("a", "b", "c", "d").forEach(model -> fleet.model(model, "1", 20));
        fleet.rounds(700);
        int moves = fleet.mLoads.size();
        // WHEN
        for (int swing = 0; swing < 600 / swingRounds; swing++) {
            fleet.mPlanner.demand("a", swing % 2 == 0 ? 3 * BUSY_TOKENS_PER_SECOND : 0);
            fleet.mPlanner.demand("b", swing % 2 == 0 ? 0 : 3 * BUSY_TOKENS_PER_SECOND);
            fleet.rounds(swingRounds);
        }
        // THEN
        assertThat(fleet.mLoads.size() - moves).isLessThanOrEqualTo(4);
    }

    @ParameterizedTest
    @ValueSource(longs = {24, 30, 33})
    void should_roll_a_version_without_a_gap(long bytes) {
        // GIVEN
        PlannedFleet fleet = new PlannedFleet(PlannerSettings.defaults()).endpoints(3, 2, 100);
        MODELS.forEach(model -> fleet.model(model, "1", bytes));
        fleet.rounds(20);
        long copies = fleet.copies("a", "1");
        // WHEN
        fleet.model("a", "2", bytes);
        for (int round = 0; round < 60; round++) {
            fleet.round();
            assertThat(fleet.isReachable("a")).isTrue();
        }
        // THEN
        assertThat(fleet.copies("a", "1")).isZero();
        assertThat(fleet.copies("a", "2")).isBetween(copies, copies + 1);
        assertThat(fleet.mEndpoints.values()).allMatch(PlannedFleet.PlannedEndpoint::hasOneVersion);
        assertThat(fleet.mViolations).isEmpty();
    }

    @Test
    void should_copy_the_models_of_a_leaving_endpoint_and_load_nothing_onto_it() {
        // GIVEN
        PlannedFleet fleet = new PlannedFleet(PlannerSettings.defaults());
        fleet.add("first", "dc-0", 100);
        fleet.model("a", "1", 30).model("b", "1", 30).rounds(5);
        // WHEN
        fleet.mEndpoints.get("first").mLeaving = true;
        fleet.add("second", "dc-0", 100);
        fleet.rounds(5);
        // THEN
        assertThat(fleet.mEndpoints.get("second").serves("a")).isTrue();
        assertThat(fleet.mEndpoints.get("second").serves("b")).isTrue();
        assertThat(fleet.mLoads).filteredOn(step -> step.endpoint().equals("first")).hasSize(2);
    }

    @Test
    void should_restore_a_model_whose_only_copy_was_lost_before_anything_else() {
        // GIVEN
        PlannedFleet fleet = fleet();
        fleet.rounds(700);
        fleet.mEndpoints.values().stream()
                .filter(endpoint -> endpoint.serves("c"))
                .forEach(PlannedFleet.PlannedEndpoint::crash);
        MODELS.forEach(model -> fleet.mPlanner.demand(model, 2 * BUSY_TOKENS_PER_SECOND));
        // WHEN
        List<OrderRequest> steps = fleet.plan();
        // THEN
        assertThat(steps.get(0).action()).isEqualTo(OrderAction.LOAD_MODEL);
        List<String> served = MODELS.stream().filter(fleet::isReachable).toList();
        assertThat(served).doesNotContain(steps.get(0).artifact().name());
    }

    @Test
    void should_load_nothing_for_a_lost_data_centre_whose_models_have_other_copies() {
        // GIVEN
        PlannedFleet fleet = fleet();
        int loads = fleet.mLoads.size();
        // WHEN
        List<PlannedFleet.PlannedEndpoint> lost =
                fleet.mEndpoints.values().stream()
                        .filter(endpoint -> endpoint.mDataCentre.equals("dc-1"))
                        .toList();
        lost.forEach(endpoint -> endpoint.mLive = false);
        fleet.rounds(1_000);
        lost.forEach(endpoint -> endpoint.mLive = true);
        fleet.rounds(100);
        // THEN
        assertThat(fleet.mLoads).hasSize(loads);
        assertThat(fleet.mUnloads).isEmpty();
    }

    @Test
    void should_move_other_copies_out_of_the_way_of_a_large_model() {
        // GIVEN
        PlannedFleet fleet = new PlannedFleet(PlannerSettings.defaults()).endpoints(1, 3, 100);
        List.of("a", "b", "c").forEach(model -> fleet.model(model, "1", 30));
        fleet.rounds(10);
        // WHEN
        fleet.model("large", "1", 80);
        fleet.rounds(20);
        // THEN
        assertThat(fleet.isReachable("large")).isTrue();
        assertThat(List.of("a", "b", "c")).allMatch(fleet::isReachable);
        assertThat(fleet.mViolations).isEmpty();
    }

    @Test
    void should_unload_what_is_not_listed_any_more() {
        // GIVEN
        PlannedFleet fleet = fleet();
        // WHEN
        fleet.mModels.remove("f");
        fleet.relist();
        fleet.rounds(5);
        // THEN
        assertThat(fleet.copies("f")).isZero();
    }
}
