package org.foxtailridge.placement.announced;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Where copies of models come about that more requests ask for than a copy serves. */
class CrowdedModelTest {
    @Test
    void should_keep_both_copies_of_a_crowded_model_when_an_idle_one_can_make_room() {
        // GIVEN two engines that hold the crowded model beside an idle one, and a model without
        // copy
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(5), 2);
        fleet.engine(0).hold("m0");
        fleet.engine(0).hold("m1");
        fleet.engine(1).hold("m0");
        fleet.engine(1).hold("m2");
        fleet.mDemand = Map.of("m0", 60.0, "m3", 2.0);
        fleet.lease(1);

        // WHEN
        fleet.run(10_000);

        // THEN
        assertThat(fleet.copies("m0")).isEqualTo(2);
        assertThat(fleet.copies("m3")).isEqualTo(1);
    }

    @Test
    void should_give_a_crowded_model_a_second_copy() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 3);
        fleet.engine(0).hold("m0");
        fleet.engine(1).hold("m1");
        fleet.mDemand = Map.of("m0", 40.0);
        fleet.lease(1);

        // WHEN
        fleet.run(10_000);

        // THEN
        assertThat(fleet.copies("m0")).isGreaterThanOrEqualTo(2);
    }

    @Test
    void should_spread_the_copies_of_a_crowded_model_over_all_data_centres() {
        // GIVEN a model on one engine of the first data centre, two of six engines in each
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 6);
        fleet.engine(0).hold("m0");
        fleet.engine(1).hold("m1");
        fleet.mDemand = Map.of("m0", 40.0);
        fleet.lease(1);

        // WHEN
        fleet.run(15_000);

        // THEN
        assertThat(fleet.dataCentresOf("m0")).containsExactlyInAnyOrder("dc-0", "dc-1", "dc-2");
    }

    @Test
    void should_load_further_copies_while_the_demand_for_a_model_still_rises() {
        // GIVEN one copy, enough for the demand of this moment
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 6);
        fleet.engine(0).hold("m0");
        fleet.engine(1).hold("m1");
        fleet.lease(1);
        fleet.mDemand = Map.of("m0", 2.0);
        fleet.run(3_000);

        // WHEN it rises by five requests under way each second, up to 30
        for (int step = 1; step <= 14; step++) {
            fleet.mDemand = Map.of("m0", 2.0 + 2 * step);
            fleet.run(400);
        }

        // THEN the copies are ordered that 30 + 5 x 5 s of load time will need
        long loads =
                fleet.mOrders.stream()
                        .filter(order -> order.load() && order.model().equals("m0"))
                        .count();
        assertThat(loads).isGreaterThanOrEqualTo(2);
    }

    /** The pattern: an empty engine comes while one model is crowded and others lack a copy. */
    @Test
    void should_serve_the_crowd_of_a_model_before_single_requests_for_others() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 2);
        fleet.engine(0).hold("m0");
        fleet.mDemand = Map.of("m0", 120.0, "m1", 2.0);
        fleet.lease(1);

        // WHEN
        fleet.run(1_500);

        // THEN
        assertThat(fleet.mOrders.get(0).model()).isEqualTo("m0");
        fleet.run(5_000);
        assertThat(fleet.copies("m1")).isPositive();
    }

    @Test
    void should_say_at_once_that_a_model_was_loaded() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(1), 1);
        fleet.lease(1);

        // WHEN
        fleet.run(2_200);

        // THEN
        assertThat(fleet.mResidence).containsEntry("m0", true);
    }

    /** The pattern: crowded models take every place, and a rare one is asked for all the while. */
    @Test
    void should_serve_a_rarely_asked_model_in_the_end() {
        // GIVEN a crowd that takes every load that the weight store allows
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 24);
        fleet.engine(0).hold("m1");
        fleet.mDemand = Map.of("m0", 1_000.0);
        fleet.lease(1);
        fleet.run(3_000);

        // WHEN the only copy of the other model is lost, and a request asks for it now and then
        fleet.engine(0).restart(fleet.mClock.millis());
        fleet.mDemand = Map.of("m0", 1_000.0, "m1", 0.5);
        fleet.run(7_000);

        // THEN
        assertThat(fleet.mOrders).extracting(ModelOrder::model).contains("m1");
    }
}
