package org.foxtailridge.placement.announced;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What becomes of orders that engines leave without an answer, and carry out late or never. */
class UnansweredOrderTest {
    /** The pattern: engines leave orders unanswered while the demanded model has no copy. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_place_a_demanded_model_soon_although_orders_stay_without_an_answer(long seed) {
        // GIVEN full engines, surplus copies that can make room, a demanded model without a copy
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(6), 3);
        for (int number = 0; number < 3; number++) {
            fleet.engine(number).hold("m0");
            fleet.engine(number).hold("m" + (number + 1));
        }
        fleet.mRandom = new Random(seed);
        fleet.mLostShare = 0.3;
        fleet.mDemand = Map.of("m4", 20.0);
        fleet.lease(1);

        // WHEN an order, its time-out and the load take about three seconds
        fleet.run(9_000);

        // THEN
        assertThat(fleet.copies("m4")).isPositive();
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void should_repeat_an_order_without_an_answer_so_that_the_engine_can_be_used_again() {
        // GIVEN one engine whose surplus copy must go for a demanded model, and a lost order
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(5), 2);
        fleet.engine(0).hold("m0");
        fleet.engine(0).hold("m1");
        fleet.engine(1).hold("m0");
        fleet.engine(1).hold("m3");
        fleet.mDemand = Map.of("m4", 20.0, "m1", 1.0, "m3", 1.0);
        fleet.mLoseNext = 1;
        fleet.lease(1);

        // WHEN
        fleet.run(6_000);

        // THEN
        assertThat(fleet.copies("m4")).isPositive();
    }

    /** The pattern: engines leave orders for adapters unanswered, again and again. */
    @Test
    void should_load_a_model_although_an_order_for_an_adapter_stays_without_an_answer() {
        // GIVEN an engine that left an order for an adapter unanswered
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 1);
        fleet.engine(0).hold("m0");
        fleet.lease(1);
        fleet.run(200);
        fleet.mLoseNext = 1;
        fleet.mPlacement.adapterWanted("engine-0", "m0", "a1");

        // WHEN
        fleet.run(3_500);

        // THEN
        assertThat(fleet.copies("m1")).isPositive();
    }

    @Test
    void should_load_a_model_elsewhere_when_the_engine_that_loads_it_does_not_answer() {
        // GIVEN
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(2), 2);
        fleet.mDemand = Map.of("m0", 20.0);
        fleet.lease(1);
        fleet.run(600);
        String loading = fleet.mOrders.get(0).engine();

        // WHEN it crashes, and its announcement does not lapse yet
        fleet.mSilent.add(loading);
        fleet.run(4_000);

        // THEN
        assertThat(fleet.mOrders)
                .filteredOn(order -> order.load() && order.model().equals("m0"))
                .extracting(ModelOrder::engine)
                .contains(loading.equals("engine-0") ? "engine-1" : "engine-0");
    }

    @Property(tries = 1_500, seed = "7301")
    void should_never_order_more_than_an_engine_holds(@ForAll long seed) {
        Random random = new Random(seed);
        PlacementFleet fleet = new PlacementFleet(PlacementFleet.pool(7), 3);
        fleet.mRandom = random;
        fleet.mLostShare = 0.3;
        fleet.lease(1);
        long fencing = 1;
        for (int step = 0; step < 60; step++) {
            fleet.mDemand = new LinkedHashMap<>();
            fleet.mDemand.put("m" + random.nextInt(7), 30.0);
            fleet.mDemand.put("m" + random.nextInt(7), 2.0 + step);
            if (random.nextInt(12) == 0) {
                fleet.engine(random.nextInt(3)).restart(fleet.mClock.millis());
            }
            if (random.nextInt(15) == 0) {
                fleet.replaceHolder(++fencing);
            }
            for (int wanted = 0; wanted < 3; wanted++) {
                fleet.mPlacement.adapterWanted(
                        "engine-" + random.nextInt(3),
                        "m" + random.nextInt(7),
                        "a" + random.nextInt(6));
            }
            fleet.run(100 + random.nextInt(800));
        }
        assertThat(fleet.violations()).isEmpty();
    }
}
