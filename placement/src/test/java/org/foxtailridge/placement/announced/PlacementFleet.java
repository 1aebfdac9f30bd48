package org.foxtailridge.placement.announced;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.foxtailridge.core.time.ManualClock;

/** Simulated engines and the placement that gives them orders. */
final class PlacementFleet implements AnnouncedPlacementOutbox {
    private static final String SERVICE = "scribe";
    private static final double BIG = 70_000;
    private static final double SMALL = 34_000;
    private static final Instant FAR = Instant.EPOCH.plus(Duration.ofDays(1));

    final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final Map<String, SimulatedEngine> mEngines = new LinkedHashMap<>();
    final List<ModelOrder> mOrders = new ArrayList<>();
    final Map<String, Boolean> mResidence = new LinkedHashMap<>();
    private final List<Runnable> mLater = new ArrayList<>();
    private final PoolSize mPool;
    AnnouncedPlacement mPlacement;
    Map<String, Double> mDemand = Map.of();
    Random mRandom = new Random(1);
    double mLostShare;
    int mLoseNext;
    boolean mAnnouncing = true;
    final Set<String> mSilent = new HashSet<>();

    PlacementFleet(PoolSize pool, int engines) {
        mPool = pool;
        for (int number = 0; number < engines; number++) {
            String name = "engine-" + number;
            mEngines.put(name, new SimulatedEngine(name, "dc-" + number % 3, pool));
        }
        mPlacement = placement();
    }

    private AnnouncedPlacement placement() {
        AnnouncedPlacement placement =
                new AnnouncedPlacement(AnnouncedPlacementSettings.defaults(), mClock, this);
        placement.pools(List.of(mPool));
        return placement;
    }

    SimulatedEngine engine(int number) {
        return mEngines.get("engine-" + number);
    }

    void lease(long fencing) {
        mPlacement.lease(Optional.of(new OrderLease(fencing, mClock.instant(), FAR)));
    }

    /** Another node takes over, which knows nothing of the orders given so far. */
    void replaceHolder(long fencing) {
        mLater.clear();
        mPlacement = placement();
        Instant from = mClock.instant().plusMillis(3_400);
        mPlacement.lease(Optional.of(new OrderLease(fencing, from, FAR)));
    }

    long copies(String model) {
        return mEngines.values().stream().filter(engine -> engine.holds(model)).count();
    }

    Set<String> dataCentresOf(String model) {
        return mEngines.values().stream()
                .filter(engine -> engine.holds(model))
                .map(SimulatedEngine::dataCentre)
                .collect(Collectors.toSet());
    }

    List<String> violations() {
        return mEngines.values().stream().flatMap(engine -> engine.violations().stream()).toList();
    }

    void run(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 20) {
            mClock.advance(Duration.ofMillis(20));
            long now = mClock.millis();
            mEngines.values().forEach(engine -> engine.advance(now));
            if (passed % 1_000 == 0 && mAnnouncing) {
                mEngines.values().forEach(engine -> mPlacement.engine(announced(engine)));
            }
            List<Runnable> due = List.copyOf(mLater);
            mLater.clear();
            due.forEach(Runnable::run);
            mPlacement.demand("node", mDemand);
            mPlacement.tick();
        }
    }

    static EngineView announced(SimulatedEngine engine) {
        EngineView report = engine.report();
        return new EngineView(
                report.engine(),
                report.service(),
                report.dataCentre(),
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
        boolean lost = mLoseNext-- > 0 || mRandom.nextDouble() < mLostShare;
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
    public void modelResident(String engine, long start, String model, boolean resident) {
        mResidence.put(model, resident);
    }

    @Override
    public void askReport(String engine) {
        AnnouncedPlacement asker = mPlacement;
        if (mSilent.contains(engine)) {
            mLater.add(() -> asker.noReport(engine));
            return;
        }
        EngineView report = mEngines.get(engine).report();
        mLater.add(() -> asker.engine(report));
    }

    /** Returns a pool of engines of 200 GB, and models of which every third is small. */
    static PoolSize pool(int models) {
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
}
