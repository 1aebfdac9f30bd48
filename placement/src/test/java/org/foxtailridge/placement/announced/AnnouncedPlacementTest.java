package org.foxtailridge.placement.announced;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class AnnouncedPlacementTest {
    private static final String SERVICE = "scribe";
    private static final double BIG = 70_000;
    private static final double SMALL = 34_000;
    private static final Instant FAR = Instant.EPOCH.plus(Duration.ofDays(1));

    @Test
    void should_load_a_model_that_no_engine_holds() {
        // GIVEN
        Fleet fleet = new Fleet(pool(2), 2);
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
        Fleet fleet = new Fleet(pool(2), 2);

        // WHEN
        fleet.run(5_000);

        // THEN
        assertThat(fleet.mOrders).isEmpty();
    }

    @Test
    void should_order_nothing_while_orders_of_the_holder_before_may_arrive() {
        // GIVEN
        Fleet fleet = new Fleet(pool(2), 2);
        Instant from = fleet.mClock.instant().plusSeconds(4);
        fleet.mPlacement.lease(Optional.of(new OrderLease(2, from, FAR)));

        // WHEN
        fleet.run(3_500);

        // THEN
        assertThat(fleet.mOrders).isEmpty();
    }

    @Test
    void should_keep_both_copies_of_a_crowded_model_when_an_idle_one_can_make_room() {
        // GIVEN two engines that hold the crowded model beside an idle one, and a model without
        // copy
        Fleet fleet = new Fleet(pool(5), 2);
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
    void should_not_unload_more_copies_at_once_than_a_model_can_spare() {
        // GIVEN a model with two copies, and two models without one that are asked for
        Fleet fleet = new Fleet(pool(6), 2);
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
        Fleet fleet = new Fleet(pool(5), 2);
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

    @Test
    void should_give_a_crowded_model_a_second_copy() {
        // GIVEN
        Fleet fleet = new Fleet(pool(2), 3);
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
    void should_stay_within_the_loads_that_the_weight_store_allows() {
        // GIVEN many models without a copy on empty engines
        Fleet fleet = new Fleet(pool(12), 8);
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
        Fleet fleet = new Fleet(pool(1), 1);
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
        Fleet fleet = new Fleet(pool(1), 1);
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
        Fleet fleet = new Fleet(pool(2), 1);
        fleet.engine(0).hold("m0");
        fleet.lease(1);
        fleet.run(700);

        // WHEN
        fleet.mPlacement.adapterWanted("engine-0", "m0", "a1");

        // THEN
        assertThat(fleet.mResidence).containsEntry("a1", false);
    }

    @Property(tries = 1_500, seed = "7301")
    void should_never_order_more_than_an_engine_holds(@ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(pool(7), 3);
        fleet.mRandom = random;
        fleet.mLostShare = 0.3;
        fleet.lease(1);
        long fencing = 1;
        for (int step = 0; step < 60; step++) {
            fleet.mDemand = new LinkedHashMap<>();
            fleet.mDemand.put("m" + random.nextInt(7), 30.0);
            fleet.mDemand.put("m" + random.nextInt(7), 2.0 + step);
            if (random.nextInt(12) == 0) {
                fleet.engine(random.nextInt(3)).restart();
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

    private static PoolSize pool(int models) {
        return new PoolSize(
                SERVICE,
                64,
                200_000,
                2,
                1.0,
                IntStream.range(0, models)
                        .mapToObj(
                                number ->
                                        new ModelSize(
                                                "m" + number,
                                                number % 3 == 2 ? SMALL : BIG,
                                                66,
                                                5,
                                                1,
                                                0.4))
                        .toList());
    }

    private static final class Fleet implements AnnouncedPlacementOutbox {
        private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
        private final Map<String, SimulatedEngine> mEngines = new LinkedHashMap<>();
        private final List<ModelOrder> mOrders = new ArrayList<>();
        private final Map<String, Boolean> mResidence = new LinkedHashMap<>();
        private final List<Runnable> mLater = new ArrayList<>();
        private final PoolSize mPool;
        private AnnouncedPlacement mPlacement;
        private Map<String, Double> mDemand = Map.of();
        private Random mRandom = new Random(1);
        private double mLostShare;

        private Fleet(PoolSize pool, int engines) {
            mPool = pool;
            for (int number = 0; number < engines; number++) {
                String name = "engine-" + number;
                mEngines.put(name, new SimulatedEngine(name, pool));
            }
            mPlacement = placement();
        }

        private AnnouncedPlacement placement() {
            AnnouncedPlacement placement =
                    new AnnouncedPlacement(AnnouncedPlacementSettings.defaults(), mClock, this);
            placement.pools(List.of(mPool));
            return placement;
        }

        private SimulatedEngine engine(int number) {
            return mEngines.get("engine-" + number);
        }

        private void lease(long fencing) {
            mPlacement.lease(Optional.of(new OrderLease(fencing, mClock.instant(), FAR)));
        }

        /** Another node takes over, which knows nothing of the orders given so far. */
        private void replaceHolder(long fencing) {
            mLater.clear();
            mPlacement = placement();
            Instant from = mClock.instant().plusMillis(3_400);
            mPlacement.lease(Optional.of(new OrderLease(fencing, from, FAR)));
        }

        private long copies(String model) {
            return mEngines.values().stream().filter(engine -> engine.holds(model)).count();
        }

        private List<String> violations() {
            return mEngines.values().stream()
                    .flatMap(engine -> engine.violations().stream())
                    .toList();
        }

        private void run(long milliseconds) {
            for (long passed = 0; passed < milliseconds; passed += 20) {
                mClock.advance(Duration.ofMillis(20));
                long now = mClock.millis();
                mEngines.values().forEach(engine -> engine.advance(now));
                if (passed % 1_000 == 0) {
                    mEngines.values().forEach(engine -> mPlacement.engine(announced(engine)));
                }
                List<Runnable> due = List.copyOf(mLater);
                mLater.clear();
                due.forEach(Runnable::run);
                mPlacement.demand("node", mDemand);
                mPlacement.tick();
            }
        }

        private static EngineView announced(SimulatedEngine engine) {
            EngineView report = engine.report();
            return new EngineView(
                    report.engine(),
                    report.service(),
                    report.start(),
                    true,
                    OptionalLong.empty(),
                    false,
                    report.adapters(),
                    Set.of(),
                    Set.of());
        }

        @Override
        public void send(ModelOrder order, Instant notAfter) {
            mOrders.add(order);
            AnnouncedPlacement sender = mPlacement;
            boolean lost = mRandom.nextDouble() < mLostShare;
            ModelOrderAnswer answer =
                    mEngines.get(order.engine()).take(order, lost, mClock.millis(), mRandom);
            mLater.add(() -> sender.answered(order.number(), answer));
        }

        @Override
        public void adapterResident(
                String engine, long start, String model, String adapter, boolean resident) {
            mResidence.put(adapter, resident);
        }

        @Override
        public void modelLeaves(String engine, long start, String model) {
            mResidence.put(model, false);
        }

        @Override
        public void askReport(String engine) {
            AnnouncedPlacement asker = mPlacement;
            EngineView report = mEngines.get(engine).report();
            mLater.add(() -> asker.engine(report));
        }
    }
}
