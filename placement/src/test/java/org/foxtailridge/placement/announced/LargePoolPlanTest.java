package org.foxtailridge.placement.announced;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the time of a plan in a large pool. The planner runs on the event loop of a node with a
 * third of a core: a plan of half a second held up the requests of that node until their callers
 * had left.
 */
class LargePoolPlanTest {
    // A plan is due each 250 ms; on a third of a core it then takes a tenth of the node.
    private static final Duration MAXIMUM_PLAN_TIME = Duration.ofMillis(8);
    private static final int WARM_UP_PLANS = 10;
    private static final int MEASURED_PLANS = 20;
    private static final double MODEL_MEGABYTES = 70_000;
    private static final double ENGINE_MEGABYTES = 200_000;
    private static final int MODELS_PER_ENGINE = 2;
    private static final int MODELS_WITHOUT_COPY = 10;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();
    private int mOrders;

    @ParameterizedTest
    @CsvSource({"37,63", "98,196", "300,300"})
    void should_plan_within_a_tenth_of_a_small_node(int engines, int models) {
        // GIVEN engines without free memory, and more wanted copies than fit
        AnnouncedPlacement placement =
                new AnnouncedPlacement(
                        AnnouncedPlacementSettings.defaults(), mClock, new CountingOutbox());
        placement.pools(List.of(pool(models)));
        placement.lease(
                Optional.of(new OrderLease(1, Instant.EPOCH, Instant.EPOCH.plusSeconds(3_600))));
        for (int engine = 0; engine < engines; engine++) {
            placement.engine(view(engine, models));
        }
        Map<String, Double> demand = new HashMap<>();
        for (int model = 0; model < models; model++) {
            demand.put("m" + model, model % 3 == 0 ? 30.0 : model % 3 == 1 ? 2.0 : 0.0);
        }
        run(placement, demand, WARM_UP_PLANS);

        // WHEN
        long before = mThreads.getCurrentThreadCpuTime();
        run(placement, demand, MEASURED_PLANS);
        long nanoseconds = mThreads.getCurrentThreadCpuTime() - before;

        // THEN
        assertThat(mOrders).isPositive();
        assertThat(Duration.ofNanos(nanoseconds / MEASURED_PLANS)).isLessThan(MAXIMUM_PLAN_TIME);
    }

    private void run(AnnouncedPlacement placement, Map<String, Double> demand, int plans) {
        for (int plan = 0; plan < plans; plan++) {
            mClock.advance(AnnouncedPlacementSettings.defaults().planInterval());
            placement.demand("node", demand);
            placement.tick();
        }
    }

    private static PoolSize pool(int models) {
        List<ModelSize> sizes = new ArrayList<>();
        for (int model = 0; model < models; model++) {
            sizes.add(new ModelSize("m" + model, MODEL_MEGABYTES, 40, 1.2, 0.8, 0.6));
        }
        return new PoolSize("service", 48, ENGINE_MEGABYTES, 8, 25, sizes);
    }

    private static EngineView view(int engine, int models) {
        Map<String, List<String>> held = new HashMap<>();
        for (int place = 0; place < MODELS_PER_ENGINE; place++) {
            int model = (engine * MODELS_PER_ENGINE + place) % (models - MODELS_WITHOUT_COPY);
            held.put("m" + model, List.of());
        }
        return new EngineView(
                "engine-" + engine,
                "service",
                "centre-" + engine % 3,
                1,
                true,
                OptionalLong.of(0),
                false,
                held,
                Set.of(),
                Set.of());
    }

    /** Counts orders and answers none, so that the engines stay as they are. */
    private final class CountingOutbox implements AnnouncedPlacementOutbox {
        @Override
        public void send(ModelOrder order, Instant notAfter) {
            mOrders++;
        }

        @Override
        public void adapterResident(
                String engine, long engineStart, String model, String adapter, boolean resident) {}

        @Override
        public void modelResident(
                String engine, long engineStart, String model, boolean resident) {}

        @Override
        public void askReport(String engine) {}
    }
}
