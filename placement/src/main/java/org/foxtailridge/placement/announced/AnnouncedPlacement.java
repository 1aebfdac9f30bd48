package org.foxtailridge.placement.announced;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;

/**
 * Gives orders to engines that announce themselves, while this node has the right to.
 *
 * <p>Such engines check no fencing numbers, so that only the lease keeps two nodes from giving
 * orders at the same time. Each order names how many orders the engine must have accepted before:
 * of several that were sent without an answer, one at most is carried out. Confined to one thread.
 *
 * <pre>{@code
 * AnnouncedPlacement placement = new AnnouncedPlacement(settings, clock, outbox);
 * placement.pools(pools);
 * placement.engine(view);                     // announcements and reports
 * placement.demand("node-1", underWay);       // of every node
 * placement.lease(Optional.of(lease));
 * placement.tick();                           // leads to outbox.send(order, notAfter)
 * placement.answered(order.number(), ModelOrderAnswer.ACCEPTED);
 * }</pre>
 */
public final class AnnouncedPlacement {
    private static final Logger LOGGER = LogManager.getLogger(AnnouncedPlacement.class);

    private final AnnouncedPlacementSettings mSettings;
    private final Clock mClock;
    private final AnnouncedPlacementOutbox mOutbox;
    private final Map<String, PoolSize> mPools = new HashMap<>();
    private final Map<String, EngineState> mEngines = new LinkedHashMap<>();
    private final Map<String, Map<String, CopyPlanner.RoomBeingMade>> mRoom = new HashMap<>();
    private final Map<String, Long> mMissingSince = new HashMap<>();
    private final Map<String, StoreLoads> mStores = new HashMap<>();
    private final ModelDemands mDemands;
    private final AdapterDesk mAdapters = new AdapterDesk();
    private final List<ResidentSoon> mResidentSoon = new ArrayList<>();
    private Optional<OrderLease> mLease = Optional.empty();
    private long mNextNumber = 1;
    private long mPlannedMilliseconds;
    private long mHolderSinceMilliseconds;

    /** Creates a placement that knows no engines and has no lease. */
    public AnnouncedPlacement(
            AnnouncedPlacementSettings settings, Clock clock, AnnouncedPlacementOutbox outbox) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mDemands =
                new ModelDemands(
                        settings.demandMemory().toMillis(), settings.reportLife().toMillis());
    }

    /** Returns the name under which the demand for an adapter is told. */
    public static String adapterName(String model, String adapter) {
        return model + ':' + adapter;
    }

    /** Sets the pools of engines and their models. */
    public void pools(List<PoolSize> pools) {
        mPools.clear();
        pools.forEach(pool -> mPools.put(pool.service(), pool));
    }

    /** Takes what an engine says it holds. */
    public void engine(EngineView view) {
        EngineState state = mEngines.get(view.engine());
        if (state == null) {
            mEngines.put(view.engine(), new EngineState(view));
            return;
        }
        Optional<String> loading = state.loading();
        state.update(view, mClock.millis());
        loading.filter(state::serves)
                .filter(model -> state.loading().isEmpty())
                .ifPresent(
                        model ->
                                mOutbox.modelResident(
                                        state.name(), state.view().start(), model, true));
    }

    /** Notes that an engine did not answer when it was asked for a report. */
    public void noReport(String engine) {
        EngineState state = mEngines.get(engine);
        if (state != null) {
            state.noReport();
        }
    }

    /** Forgets an engine that is gone. */
    public void engineGone(String engine) {
        mEngines.remove(engine);
        mAdapters.forget(engine);
    }

    /**
     * Takes the demand that a node sees.
     *
     * @param node name of the node
     * @param underWay requests that wait or run there, by name of model or adapter
     */
    public void demand(String node, Map<String, Double> underWay) {
        mDemands.report(node, underWay, mClock.millis());
    }

    /** Sets or takes away the right to give orders. */
    public void lease(Optional<OrderLease> lease) {
        boolean other =
                lease.isPresent()
                        && (mLease.isEmpty() || mLease.get().fencing() != lease.get().fencing());
        if (other) {
            // The holder before may have begun loads a moment ago.
            mHolderSinceMilliseconds = mClock.millis();
            mStores.values().forEach(StoreLoads::empty);
            mEngines.values().forEach(EngineState::forgetOrders);
        }
        mLease = lease;
    }

    /** Has an adapter loaded for a request that waits. */
    public void adapterWanted(String engine, String model, String adapter) {
        EngineState state = mEngines.get(engine);
        if (state == null) {
            return;
        }
        if (state.holdsAdapter(model, adapter)) {
            state.adapterUsed(model, adapter, mClock.millis());
            mOutbox.adapterResident(engine, state.view().start(), model, adapter, true);
            return;
        }
        if (!mayOrder() || state.isChangingModels() || !state.serves(model)) {
            // The request is better off at another engine.
            mOutbox.adapterResident(engine, state.view().start(), model, adapter, false);
            return;
        }
        mAdapters.want(engine, model, adapter, mClock.millis());
        orderAdapters(state);
    }

    /** Takes the answer to an order. */
    public void answered(long number, ModelOrderAnswer answer) {
        for (EngineState state : mEngines.values()) {
            ModelOrder order = state.inFlight();
            if (order != null && order.number() == number) {
                answered(state, order, answer);
                return;
            }
        }
    }

    /** Plans and orders what is due. */
    public void tick() {
        long now = mClock.millis();
        long lateOrders = now - mSettings.lateOrderLife().toMillis();
        mEngines.values().forEach(state -> state.forgetDoubtsBefore(lateOrders));
        tellResident(now);
        if (!mayOrder()) {
            return;
        }
        mEngines.values().stream()
                .filter(EngineState::isUnsettled)
                .filter(engine -> mPools.containsKey(engine.view().service()))
                .forEach(engine -> mOutbox.askReport(engine.name()));
        mEngines.values().forEach(this::orderAdapters);
        if (now - mPlannedMilliseconds >= mSettings.planInterval().toMillis()) {
            mPlannedMilliseconds = now;
            mDemands.smooth(now);
            mPools.values().forEach(pool -> plan(pool, now));
        }
    }

    /** Returns the engines that are known, for the status page. */
    public int engines() {
        return mEngines.size();
    }

    private boolean mayOrder() {
        Instant now = mClock.instant();
        return mLease.filter(lease -> lease.isGoodAt(now)).isPresent();
    }

    private void plan(PoolSize pool, long now) {
        List<EngineState> engines =
                mEngines.values().stream()
                        .filter(engine -> engine.view().service().equals(pool.service()))
                        .toList();
        StoreLoads store =
                mStores.computeIfAbsent(
                        pool.service(), name -> new StoreLoads(mSettings.storeBurst(), now));
        store.advance(pool.storeLoadsPerSecond(), now);
        Map<String, CopyPlanner.RoomBeingMade> room =
                mRoom.computeIfAbsent(pool.service(), name -> new HashMap<>());
        new CopyPlanner(
                        mSettings,
                        pool,
                        engines,
                        mDemands,
                        room,
                        mMissingSince,
                        store,
                        mHolderSinceMilliseconds,
                        now)
                .plan()
                .forEach(step -> order(step.engine(), step.load(), step.model(), Optional.empty()));
    }

    private void orderAdapters(EngineState state) {
        PoolSize pool = mPools.get(state.view().service());
        if (pool == null || !mayOrder()) {
            return;
        }
        mAdapters
                .next(state, pool, mDemands, mClock.millis())
                .ifPresent(
                        step ->
                                order(
                                        state,
                                        step.load(),
                                        step.model(),
                                        Optional.of(step.adapter())));
    }

    private void order(EngineState state, boolean load, String model, Optional<String> adapter) {
        OrderLease lease = mLease.orElseThrow();
        ModelOrder order =
                new ModelOrder(
                        mNextNumber++,
                        state.name(),
                        load,
                        model,
                        adapter,
                        state.orders().orElseThrow(),
                        lease.fencing());
        state.sent(order, mClock.millis());
        if (adapter.isPresent() && !load) {
            mOutbox.adapterResident(
                    state.name(), state.view().start(), model, adapter.get(), false);
        }
        if (adapter.isEmpty() && !load) {
            mOutbox.modelResident(state.name(), state.view().start(), model, false);
        }
        LogEvent.named("order_sent")
                .text("endpoint", state.name())
                .text("action", load ? "load" : "unload")
                .text("model", model)
                .text("adapter", adapter.orElse(""))
                .number("expected_orders", order.expectedOrders())
                .number("fencing", lease.fencing())
                .writeTo(LOGGER);
        mOutbox.send(order, lease.until());
    }

    private void answered(EngineState state, ModelOrder order, ModelOrderAnswer answer) {
        long now = mClock.millis();
        LogEvent.named("order_answered")
                .text("endpoint", state.name())
                .text("action", order.load() ? "load" : "unload")
                .text("model", order.model())
                .text("adapter", order.adapter().orElse(""))
                .text("answer", answer.name().toLowerCase(Locale.ROOT))
                .number("age_ms", now - state.inFlightSince())
                .writeTo(LOGGER);
        state.answered(answer, now);
        boolean loaded =
                order.load()
                        && order.adapter().isPresent()
                        && (answer == ModelOrderAnswer.ACCEPTED
                                || answer == ModelOrderAnswer.HOLDS);
        if (loaded) {
            mResidentSoon.add(
                    new ResidentSoon(
                            state.name(),
                            state.view().start(),
                            order.model(),
                            order.adapter().get(),
                            now + mSettings.adapterLoadTime().toMillis()));
        }
        if (state.orders().isEmpty()) {
            mOutbox.askReport(state.name());
        }
        orderAdapters(state);
    }

    private void tellResident(long now) {
        for (ResidentSoon soon : List.copyOf(mResidentSoon)) {
            if (now >= soon.atMilliseconds()) {
                mResidentSoon.remove(soon);
                mOutbox.adapterResident(
                        soon.engine(), soon.engineStart(), soon.model(), soon.adapter(), true);
            }
        }
    }

    private record ResidentSoon(
            String engine, long engineStart, String model, String adapter, long atMilliseconds) {}
}
