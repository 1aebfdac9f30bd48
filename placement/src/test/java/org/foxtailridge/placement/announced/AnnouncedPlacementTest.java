package org.foxtailridge.placement.announced;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class AnnouncedPlacementTest {
    private static final Instant FAR = Instant.EPOCH.plus(Duration.ofDays(1));

    @Test
    void should_load_a_model_that_no_engine_holds() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 2);
        fleet.engine(0).hold("m0");
        fleet.lease(1);

        // WHEN
        fleet.run(5_000);

        // THEN
        assertThat(fleet.copies("m1")).isEqualTo(1);
    }

    @Test
    void should_order_nothing_without_a_lease() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 2);

        // WHEN
        fleet.run(5_000);

        // THEN
        assertThat(fleet.mOrders).isEmpty();
    }

    @Test
    void should_order_nothing_while_orders_of_the_holder_before_may_arrive() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 2);
        Instant from = fleet.mClock.instant().plusSeconds(4);
        fleet.mPlacement.lease(Optional.of(new OrderLease(2, from, FAR)));

        // WHEN
        fleet.run(3_500);

        // THEN
        assertThat(fleet.mOrders).isEmpty();
    }

    @Test
    void should_not_unload_more_copies_at_once_than_a_model_can_spare() {
        // GIVEN a model with two copies, and two models without one that are asked for
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(6), 2);
        fleet.engine(0).hold("m0");
        fleet.engine(0).hold("m1");
        fleet.engine(1).hold("m0");
        fleet.engine(1).hold("m2");
        fleet.mDemand = Map.of("m0", 5.0, "m1", 5.0, "m2", 5.0, "m3", 2.0, "m4", 2.0);
        fleet.lease(1);

        // WHEN
        fleet.run(10_000);

        // THEN
        assertThat(fleet.copies("m0")).isPositive();
    }

    @Test
    void should_keep_two_of_the_copies_that_engines_start_with_before_anything_is_asked_for() {
        // GIVEN a model that engines hold more often than any other, and two models without a copy
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(5), 2);
        fleet.engine(0).hold("m0");
        fleet.engine(0).hold("m1");
        fleet.engine(1).hold("m0");
        fleet.engine(1).hold("m3");
        fleet.lease(1);

        // WHEN
        fleet.run(10_000);

        // THEN
        assertThat(fleet.copies("m0")).isEqualTo(2);
    }

    /** The pattern: a data centre is cut off while a model is in demand everywhere. */

    /** The pattern: the demand for a model rises within seconds, and loads take as long. */
    @Test
    void should_stay_within_the_loads_that_the_weight_store_allows() {
        // GIVEN many models without a copy on empty engines
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(12), 8);
        fleet.lease(1);

        // WHEN
        fleet.run(5_000);

        // THEN 1 load a second, and 2 at once
        long loads = fleet.mOrders.stream().filter(ModelOrder::load).count();
        assertThat(loads).isLessThanOrEqualTo(7);
    }

    @Test
    void should_load_an_adapter_that_is_wanted_and_say_so() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(1), 1);
        fleet.engine(0).hold("m0");
        fleet.lease(1);
        fleet.run(500);

        // WHEN
        fleet.mPlacement.adapterWanted("engine-0", "m0", "a1");
        fleet.run(200);

        // THEN
        assertThat(fleet.mResidence).containsEntry("a1", true);
    }

    @Test
    void should_drop_the_least_wanted_adapter_when_all_places_are_taken() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(1), 1);
        fleet.engine(0).hold("m0");
        fleet.lease(1);
        fleet.run(500);
        for (String adapter : List.of("a1", "a2")) {
            fleet.mPlacement.adapterWanted("engine-0", "m0", adapter);
            fleet.run(300);
        }
        fleet.mDemand = Map.of("m0:a1", 3.0);
        fleet.run(600);

        // WHEN
        fleet.mPlacement.adapterWanted("engine-0", "m0", "a3");
        fleet.run(600);

        // THEN
        assertThat(fleet.mResidence)
                .containsEntry("a1", true)
                .containsEntry("a2", false)
                .containsEntry("a3", true);
    }

    @Test
    void should_say_at_once_that_an_engine_that_changes_models_takes_no_adapter() {
        // GIVEN an engine that is loading a model
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 1);
        fleet.engine(0).hold("m0");
        fleet.lease(1);
        fleet.run(700);

        // WHEN
        fleet.mPlacement.adapterWanted("engine-0", "m0", "a1");

        // THEN
        assertThat(fleet.mResidence).containsEntry("a1", false);
    }

    /** The pattern: an engine crashes while it loads the model that most requests ask for. */
    @Test
    void should_not_believe_an_announcement_that_is_older_than_the_report() {
        // GIVEN an engine that reports two large models, and one that is wanted as well
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(5), 1);
        fleet.engine(0).hold("m0");
        EngineView old = PlacementFleet.announced(fleet.engine(0));
        fleet.engine(0).hold("m1");
        fleet.lease(1);
        fleet.run(600);

        // WHEN an announcement arrives late that knows of one of them only
        fleet.mAnnouncing = false;
        fleet.mDemand = Map.of("m0", 5.0, "m1", 5.0, "m3", 50.0);
        for (int step = 0; step < 20; step++) {
            fleet.mPlacement.engine(old);
            fleet.run(200);
        }

        // THEN nothing is loaded beside both
        assertThat(fleet.violations()).isEmpty();
    }
}
