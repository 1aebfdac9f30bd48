package org.foxtailridge.placement.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.placement.Placement;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.order.DutyLease;
import org.foxtailridge.placement.order.Order;
import org.foxtailridge.placement.order.OrderAnswer;
import org.foxtailridge.placement.order.OrderHistory;
import org.foxtailridge.placement.order.OrderRecord;
import org.foxtailridge.placement.order.OrderRecordCodec;
import org.foxtailridge.protocol.placement.PlacementStep;

/** Nodes, engines, log and network in one thread; what fails is drawn from a seed. */
public final class Simulation {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration LEASE = Duration.ofSeconds(3);
    private static final int TRANSMISSION_TIMEOUT_MILLISECONDS = 1_000;
    private static final int POLL_STEPS = 4;
    private static final int LATE_MILLISECONDS = 10_000;
    private static final long DETECTION_MILLISECONDS = 5_000;
    private static final long ADAPTER_BYTES = 7;
    private static final String PLANNING = "planning";

    private final UniformRandomProvider mRandom;
    private final SimulationSettings mSettings;
    private final Function<SimulatedNode, Placement> mPlacements;
    private final ManualClock mClock;
    private final Map<String, SimulatedEngine> mEngines = new HashMap<>();
    private final List<SimulatedNode> mNodes = new ArrayList<>();
    private final List<LogEntry> mLog = new ArrayList<>();
    private final Map<String, Holder> mHolders = new HashMap<>();
    private final Map<String, Boolean> mWitnessedUnloads = new HashMap<>();
    private final Set<String> mListed = new HashSet<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparing(Event::due).thenComparingLong(Event::sequence));
    private final List<String> mViolations = new ArrayList<>();
    private Configuration mConfiguration;
    private Instant mLogBackAt = Instant.EPOCH;
    private long mSequence;
    private long mFencing;
    private long mSteps;
    private boolean mFaultsAllowed = true;
    private final Map<String, Long> mServedAt = new HashMap<>();
    private double mRandomSteps;
    private boolean mPlans = true;
    private final List<Long> mModelLoadStarts = new ArrayList<>();
    private int mMostModelLoads;

    /** Creates a simulation; the function makes each node's placement. */
    Simulation(
            long seed,
            SimulationSettings settings,
            ManualClock clock,
            Function<SimulatedNode, Placement> placements) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mSettings = settings;
        mClock = clock;
        mPlacements = placements;
    }

    void engine(SimulatedEngine engine) {
        mEngines.put(engine.mName, engine);
    }

    void nodes(int count) {
        for (int node = 0; node < count; node++) {
            mNodes.add(freshNode());
        }
    }

    void configuration(Configuration configuration) {
        mConfiguration = configuration;
        mListed.clear();
        configuration.all(Model.class).forEach(model -> mListed.add(model.name()));
        mNodes.forEach(node -> node.mPlacement.configuration(configuration));
    }

    void run(Duration duration) {
        Instant end = mClock.instant().plus(duration);
        while (mClock.instant().isBefore(end)) {
            step();
        }
    }

    void stopFaults() {
        mFaultsAllowed = false;
    }

    /** Replaces the planner by random steps, this many on average in each step of the clock. */
    void stepAtRandom(double randomSteps) {
        mRandomSteps = randomSteps;
        mPlans = false;
    }

    int unresolvedOrders() {
        Set<String> unresolved = new HashSet<>();
        OrderHistory history = new OrderHistory(Scenario.SETTINGS);
        mLog.forEach(entry -> history.apply(entry.record(), entry.milliseconds()));
        history.endpoints()
                .forEach(
                        endpoint ->
                                endpoint.unresolved().stream()
                                        .filter(order -> !isWithheld(order))
                                        .forEach(order -> unresolved.add(order.orderId())));
        return unresolved.size();
    }

    int mostModelLoads() {
        return mMostModelLoads;
    }

    List<Long> modelLoadStarts() {
        return mModelLoadStarts;
    }

    List<String> violations() {
        return mViolations;
    }

    boolean isReachable(String model) {
        return mEngines.values().stream().anyMatch(engine -> engine.serves(model));
    }

    SimulatedEngine engine(String name) {
        return mEngines.get(name);
    }

    long recordsOf(Class<? extends OrderRecord> kind) {
        return mLog.stream().filter(entry -> kind.isInstance(entry.record())).count();
    }

    void append(OrderRecord record) {
        OrderRecord read = OrderRecordCodec.decode(OrderRecordCodec.encode(record));
        if (mClock.instant().isBefore(mLogBackAt) || chance(mSettings.lost())) {
            return;
        }
        after(delay(200), () -> admit(read));
        if (chance(mSettings.doubled())) {
            after(delay(2_000), () -> admit(read));
        }
    }

    void send(SimulatedNode node, Order order) {
        boolean holds =
                node.ordersOf(order.endpoint())
                        .filter(lease -> lease.isGoodAt(mClock.instant()))
                        .isPresent();
        if (!holds) {
            mViolations.add("sent without a lease " + order);
        }
        SimulatedEngine engine = mEngines.get(order.endpoint());
        long incarnation = engine.mIncarnation;
        boolean late = chance(mSettings.late());
        boolean lost = chance(mSettings.lost());
        int arrival = late ? delay(LATE_MILLISECONDS) : delay(100);
        boolean[] closed = {false};
        if (!lost) {
            after(arrival, () -> arrive(node, order, closed));
        }
        if (chance(mSettings.doubled())) {
            after(
                    delay(5_000),
                    () -> {
                        if (engine.mIncarnation == incarnation) {
                            arrive(node, order, new boolean[] {true});
                        }
                    });
        }
        after(
                TRANSMISSION_TIMEOUT_MILLISECONDS,
                () -> answer(node, order, OrderAnswer.LOST, closed));
    }

    void query(SimulatedNode node, String endpoint, String orderId, long query) {
        if (chance(mSettings.lost())) {
            return;
        }
        after(
                delay(100),
                () -> {
                    SimulatedEngine engine = mEngines.get(endpoint);
                    if (engine.mAlive) {
                        OrderAnswer state = engine.stateOf(orderId);
                        int back = chance(mSettings.late()) ? delay(5_000) : delay(100);
                        deliver(
                                node,
                                back,
                                () -> node.mPlacement.stateOf(endpoint, orderId, query, state));
                    }
                });
    }

    void forward(PlacementStep step) {
        Holder holder = mHolders.get(step.getEndpoint());
        if (holder != null && !chance(mSettings.lost())) {
            deliver(holder.node(), delay(50), () -> holder.node().mPlacement.step(step));
        }
    }

    private void step() {
        mClock.advance(STEP);
        mSteps++;
        if (mFaultsAllowed) {
            breakThings();
        }
        while (!mEvents.isEmpty() && !mEvents.peek().due().isAfter(mClock.instant())) {
            mEvents.poll().action().run();
        }
        for (SimulatedEngine engine : mEngines.values()) {
            engine.advance(mClock.millis());
            checkMemory(engine);
            noteServing(engine);
        }
        mMostModelLoads =
                Math.max(
                        mMostModelLoads,
                        mEngines.values().stream().mapToInt(SimulatedEngine::modelLoadsNow).sum());
        if (mRandom.nextDouble() < mRandomSteps && mFaultsAllowed) {
            forward(randomStep());
        }
        grantLeases();
        for (SimulatedNode node : mNodes) {
            if (node.runsAt(mClock.instant())) {
                readLog(node);
                poll(node);
                node.mPlacement.tick();
            }
        }
    }

    private void breakThings() {
        if (chance(mSettings.pause())) {
            SimulatedNode node = mNodes.get(mRandom.nextInt(mNodes.size()));
            node.mPausedUntil = mClock.instant().plusMillis(delay(12_000));
        }
        if (chance(mSettings.death())) {
            int index = mRandom.nextInt(mNodes.size());
            mNodes.get(index).mDead = true;
            mNodes.set(index, freshNode());
        }
        if (chance(mSettings.restart())) {
            List<String> names = mEngines.keySet().stream().sorted().toList();
            SimulatedEngine engine = mEngines.get(names.get(mRandom.nextInt(names.size())));
            if (engine.mAlive) {
                engine.mAlive = false;
                after(delay(4_000), engine::restart);
            }
        }
        if (chance(mSettings.logOutage())) {
            mLogBackAt = mClock.instant().plusMillis(delay(15_000));
        }
    }

    private SimulatedNode freshNode() {
        SimulatedNode node = new SimulatedNode(this);
        node.mPlacement = mPlacements.apply(node);
        if (mConfiguration != null) {
            node.mPlacement.configuration(mConfiguration);
        }
        return node;
    }

    private void grantLeases() {
        List<String> duties = new ArrayList<>(mEngines.keySet().stream().sorted().toList());
        if (mPlans) {
            duties.add(PLANNING);
        }
        for (String duty : duties) {
            Holder holder = mHolders.get(duty);
            boolean lapsed = holder == null || !mClock.instant().isBefore(holder.lease().until());
            boolean renews = !lapsed && holder.node().runsAt(mClock.instant());
            if (renews) {
                grant(duty, holder.node(), holder.lease().fencing());
            } else if (lapsed) {
                mFencing++;
                grant(duty, mNodes.get(mRandom.nextInt(mNodes.size())), mFencing);
            }
        }
    }

    private void grant(String duty, SimulatedNode node, long fencing) {
        if (!node.runsAt(mClock.instant())) {
            return;
        }
        DutyLease lease = new DutyLease(fencing, mClock.instant().plus(LEASE));
        mHolders.put(duty, new Holder(node, lease));
        if (duty.equals(PLANNING)) {
            node.mPlanning = lease;
        } else {
            node.grant(duty, lease);
        }
    }

    private void readLog(SimulatedNode node) {
        if (mClock.instant().isBefore(mLogBackAt) || chance(mSettings.lost())) {
            return;
        }
        while (node.mNextRecord < mLog.size()) {
            LogEntry entry = mLog.get(node.mNextRecord);
            node.mNextRecord++;
            node.mPlacement.record(entry.record(), entry.milliseconds());
        }
    }

    private void poll(SimulatedNode node) {
        if ((mSteps + mNodes.indexOf(node)) % POLL_STEPS != 0) {
            return;
        }
        for (SimulatedEngine engine : mEngines.values()) {
            boolean answers = engine.hasReport() && !chance(mSettings.lost());
            node.mPlacement.live(engine.mName, engine.hasReport());
            if (answers) {
                LoadReport report = engine.report(mRandom.nextInt(10));
                node.mPlacement.report(report);
            }
        }
    }

    private void arrive(SimulatedNode node, Order order, boolean[] closed) {
        SimulatedEngine engine = mEngines.get(order.endpoint());
        if (!engine.mAlive) {
            return;
        }
        int loads = engine.modelLoadsNow();
        OrderAnswer answer =
                engine.execute(
                        order,
                        mClock.millis() + delay(4_000),
                        chance(mSettings.loadFailure()),
                        () -> checkUnload(order));
        if (engine.modelLoadsNow() > loads) {
            mModelLoadStarts.add(mClock.millis());
        }
        boolean lost = chance(mSettings.lost());
        if (!lost && !closed[0]) {
            answer(node, order, answer, closed);
        }
    }

    private void answer(SimulatedNode node, Order order, OrderAnswer answer, boolean[] closed) {
        if (!closed[0]) {
            closed[0] = true;
            deliver(
                    node,
                    delay(100),
                    () -> node.mPlacement.answered(order.endpoint(), order.orderId(), answer));
        }
    }

    private PlacementStep randomStep() {
        List<String> endpoints = mEngines.keySet().stream().sorted().toList();
        String endpoint = endpoints.get(mRandom.nextInt(endpoints.size()));
        List<Model> models = mConfiguration.all(Model.class);
        Model model = models.get(mRandom.nextInt(models.size()));
        boolean load = mRandom.nextBoolean();
        PlacementStep.Builder step =
                PlacementStep.newBuilder().setEndpoint(endpoint).setModel(model.name());
        if (mRandom.nextInt(4) == 0) {
            return step.setAction(load ? "load_adapter" : "unload_adapter")
                    .setName(model.name() + "-adapter")
                    .setVersion("1")
                    .setBytes(ADAPTER_BYTES)
                    .build();
        }
        return step.setAction(load ? "load_model" : "unload_model")
                .setName(model.name())
                .setVersion(model.version())
                .setBytes(model.weightsBytes())
                .setWorkingBytes(model.workingBytes())
                .addAllWitnesses(load ? List.of() : endpoints)
                .build();
    }

    private void admit(OrderRecord record) {
        mLog.add(new LogEntry(record, mClock.millis()));
        if (record instanceof OrderRecord.OrderIntended intended && !intended.order().isLoad()) {
            mWitnessedUnloads.merge(
                    intended.order().orderId(),
                    hadOtherCopy(intended.order()),
                    (earlier, later) -> earlier);
        }
    }

    /** Returns whether an unload waits because it would take the last copy. */
    private boolean isWithheld(Order order) {
        return !order.isLoad()
                && mEngines.get(order.endpoint()).serves(order.artifact().model())
                && !hasOtherCopy(order);
    }

    /** Returns whether another copy served within the time in which nodes learn of a crash. */
    private boolean hadOtherCopy(Order unload) {
        return hasOtherCopy(unload)
                || mEngines.values().stream()
                        .filter(engine -> !engine.mName.equals(unload.endpoint()))
                        .map(
                                engine ->
                                        mServedAt.get(
                                                engine.mName + "/" + unload.artifact().model()))
                        .anyMatch(
                                at -> at != null && mClock.millis() - at <= DETECTION_MILLISECONDS);
    }

    private boolean hasOtherCopy(Order unload) {
        String model = unload.artifact().model();
        return mEngines.values().stream()
                .anyMatch(
                        engine ->
                                engine.mName.equals(unload.endpoint())
                                        ? engine.servesBeside(model, unload.artifact())
                                        : engine.serves(model));
    }

    private void checkUnload(Order unload) {
        boolean matters = unload.artifact().isModel() && mListed.contains(unload.artifact().name());
        if (matters && !hasOtherCopy(unload) && !mWitnessedUnloads.get(unload.orderId())) {
            mViolations.add("last copy unloaded by " + unload);
        }
    }

    private void noteServing(SimulatedEngine engine) {
        for (String model : mListed) {
            if (engine.serves(model)) {
                mServedAt.put(engine.mName + "/" + model, mClock.millis());
            }
        }
    }

    private void checkMemory(SimulatedEngine engine) {
        if (engine.usedBytes() > engine.mMemoryBytes) {
            mViolations.add(
                    engine.mName
                            + " holds "
                            + engine.usedBytes()
                            + " of "
                            + engine.mMemoryBytes
                            + " bytes at "
                            + mClock.millis());
        }
    }

    private void deliver(SimulatedNode node, int milliseconds, Runnable action) {
        after(
                milliseconds,
                () -> {
                    if (node.mDead) {
                        return;
                    }
                    if (node.runsAt(mClock.instant())) {
                        action.run();
                    } else {
                        mEvents.add(new Event(node.mPausedUntil, mSequence++, action));
                    }
                });
    }

    private void after(int milliseconds, Runnable action) {
        mEvents.add(new Event(mClock.instant().plusMillis(milliseconds), mSequence++, action));
    }

    private boolean chance(double share) {
        return mFaultsAllowed && share > 0 && mRandom.nextDouble() < share;
    }

    private int delay(int milliseconds) {
        return mRandom.nextInt(milliseconds) + 1;
    }

    private record Event(Instant due, long sequence, Runnable action) {}

    private record Holder(SimulatedNode node, DutyLease lease) {}

    private record LogEntry(OrderRecord record, long milliseconds) {}
}
