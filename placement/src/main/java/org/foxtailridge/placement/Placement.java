package org.foxtailridge.placement;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.WeightStore;
import org.foxtailridge.placement.adapter.AdapterCache;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.order.Admission;
import org.foxtailridge.placement.order.DutyLeases;
import org.foxtailridge.placement.order.EndpointHistory;
import org.foxtailridge.placement.order.EndpointOrders;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderAnswer;
import org.foxtailridge.placement.order.OrderHistory;
import org.foxtailridge.placement.order.OrderRecord;
import org.foxtailridge.placement.order.OrderRequest;
import org.foxtailridge.placement.order.OrderSettings;
import org.foxtailridge.placement.order.UnloadGuard;
import org.foxtailridge.placement.order.WeightStoreLimits;
import org.foxtailridge.placement.plan.DemandTracker;
import org.foxtailridge.placement.plan.Feasibility;
import org.foxtailridge.placement.plan.InfeasiblePlacementException;
import org.foxtailridge.placement.plan.ModelNeed;
import org.foxtailridge.placement.plan.PlacementPlanner;
import org.foxtailridge.placement.plan.PlannerSettings;
import org.foxtailridge.protocol.placement.AdapterWanted;
import org.foxtailridge.protocol.placement.DemandReport;
import org.foxtailridge.protocol.placement.PlacementStep;

/**
 * Placement on one node: folds the stream {@code orders}, gives the orders of the endpoints whose
 * duty this node holds, and plans while it holds the planning duty. Runs on one thread.
 *
 * <pre>{@code
 * Placement placement = Placement.builder(leases, outbox, clock).build();
 * placement.configuration(configuration);
 * placement.record(OrderRecordCodec.decode(payload), recordTimeMilliseconds);
 * placement.live("stone-1", true);
 * placement.report(loadReport); // of each engine, one poll after the other
 * placement.demand(demandReport); // of every node, on the node that plans
 * placement.tick(); // every 100 ms; asks the outbox to append, send, query and forward
 * placement.answered("stone-1", orderId, OrderAnswer.RUNNING);
 * Residence residence = placement.residence();
 * }</pre>
 */
public final class Placement {
    private static final WeightStoreLimits CAUTIOUS_LIMITS = new WeightStoreLimits(1, 1, 1);
    private static final String WEIGHT_STORE = "default";

    private final DutyLeases mLeases;
    private final PlacementOutbox mOutbox;
    private final Clock mClock;
    private final PlannerSettings mPlannerSettings;
    private final Duration mPlanInterval;
    private final Function<EndpointHistory, EndpointOrders> mOrdersFactory;
    private final OrderHistory mHistory;
    private final Fleet mFleet;
    private final PlacementPlanner mPlanner;
    private final DemandTracker mDemand;
    private final Map<String, EndpointOrders> mOrders = new TreeMap<>();
    private final Map<String, AdapterCache> mAdapters = new HashMap<>();
    private final Set<String> mChanged = new LinkedHashSet<>();
    private WeightStoreLimits mLimits = CAUTIOUS_LIMITS;
    private Instant mPlannedAt = Instant.MIN;
    private Instant mRecordAt;
    private InfeasiblePlacementException mInfeasible;

    private Placement(Builder builder) {
        mLeases = builder.mLeases;
        mOutbox = builder.mOutbox;
        mClock = builder.mClock;
        mRecordAt = mClock.instant();
        mPlannerSettings = builder.mPlannerSettings;
        mPlanInterval = builder.mPlanInterval;
        OrderSettings settings = builder.mOrderSettings;
        mHistory = builder.mHistories.apply(settings);
        mFleet = new Fleet(mHistory);
        mPlanner = new PlacementPlanner(mPlannerSettings, mClock);
        mDemand = new DemandTracker(builder.mDemandTimeConstant, builder.mDemandReportLife, mClock);
        OrdersFactory factory = builder.mOrdersFactory;
        mOrdersFactory =
                history ->
                        factory.create(
                                history,
                                mLeases,
                                mOutbox,
                                (unload, witnesses) -> mFleet.mayUnload(unload),
                                () -> mLimits,
                                settings,
                                mClock);
    }

    /** Returns a builder with the default settings. */
    public static Builder builder(DutyLeases leases, PlacementOutbox outbox, Clock clock) {
        return new Builder(leases, outbox, clock);
    }

    /**
     * Puts a configuration in force. When its models do not fit its endpoints, the planner keeps
     * the models that it had, and {@link #infeasible} says what is missing.
     */
    public void configuration(Configuration configuration) {
        mLimits =
                configuration
                        .find(WeightStore.class, WEIGHT_STORE)
                        .map(WeightStoreLimits::of)
                        .orElse(CAUTIOUS_LIMITS);
        for (String unlisted : mFleet.configuration(configuration)) {
            mOrders.remove(unlisted);
            mAdapters.remove(unlisted);
            mPlanner.remove(unlisted);
        }
        for (String endpoint : mFleet.endpoints()) {
            mOrders.computeIfAbsent(endpoint, name -> mOrdersFactory.apply(mFleet.history(name)));
            mChanged.add(endpoint);
        }
        mInfeasible = Feasibility.of(configuration, mPlannerSettings).failure().orElse(null);
        if (mInfeasible == null) {
            mPlanner.models(
                    ModelNeed.of(
                            configuration.all(Model.class),
                            configuration.all(Adapter.class),
                            mPlannerSettings.adaptersWithRoom()));
            mPlanner.adapters(configuration.all(Adapter.class));
        }
    }

    /** Returns what is missing for the models in force, if they do not fit. */
    public Optional<InfeasiblePlacementException> infeasible() {
        return Optional.ofNullable(mInfeasible);
    }

    /** Notes whether an endpoint answers. */
    public void live(String endpoint, boolean live) {
        if (mFleet.live(endpoint, live)) {
            mChanged.add(endpoint);
        }
    }

    /** Applies a load report; the reports of an endpoint are polled one after the other. */
    public void report(LoadReport report) {
        if (!mFleet.isListed(report.endpoint())) {
            return;
        }
        mHistory.report(report);
        mOrders.get(report.endpoint()).reported();
        mChanged.add(report.endpoint());
    }

    /** Applies a record of the stream {@code orders}, in the order of the log. */
    public void record(OrderRecord record, long logMilliseconds) {
        mRecordAt = mClock.instant();
        Admission admission = mHistory.apply(record, logMilliseconds);
        EndpointOrders orders = mOrders.get(record.endpoint());
        if (orders != null) {
            orders.recorded(record, admission);
            mChanged.add(record.endpoint());
        }
    }

    /** Applies a node's demand, on the node that plans. */
    public void demand(DemandReport report) {
        mDemand.report(report);
    }

    /** Carries out a step of the plan, on the node that holds the duty of the endpoint's orders. */
    public OrderRequest.Answer step(PlacementStep step) {
        return PlacementSteps.fromMessage(step)
                .map(this::request)
                .orElse(OrderRequest.Answer.NOT_HELD);
    }

    /** Loads an adapter that a request misses, on the node that holds the endpoint's orders. */
    public void wanted(AdapterWanted wanted) {
        String endpoint = wanted.getEndpoint();
        Optional<Adapter> adapter = mFleet.adapter(wanted.getModel(), wanted.getAdapter());
        if (!mFleet.isListed(endpoint) || adapter.isEmpty()) {
            return;
        }
        mAdapters
                .computeIfAbsent(endpoint, AdapterCache::new)
                .wanted(
                        adapter.get(),
                        mFleet.serving(endpoint),
                        mFleet.history(endpoint).ledger(),
                        mClock.millis())
                .ifPresent(this::request);
    }

    /** Notes the answer to a transmission of an order. */
    public void answered(String endpoint, String orderId, OrderAnswer answer) {
        EndpointOrders orders = mOrders.get(endpoint);
        if (orders != null) {
            orders.answered(orderId, answer);
        }
    }

    /** Notes the answer to a query of an order's state. */
    public void stateOf(String endpoint, String orderId, long query, OrderAnswer answer) {
        EndpointOrders orders = mOrders.get(endpoint);
        if (orders != null) {
            orders.stateOf(orderId, query, answer);
        }
    }

    /** Does what is due. */
    public void tick() {
        Instant now = mClock.instant();
        mHistory.forgetLate(Duration.between(mRecordAt, now));
        mOrders.values().forEach(EndpointOrders::tick);
        boolean plans = mLeases.planning().filter(lease -> lease.isGoodAt(now)).isPresent();
        boolean due =
                mPlannedAt.equals(Instant.MIN) || !now.isBefore(mPlannedAt.plus(mPlanInterval));
        if (plans && due) {
            mPlannedAt = now;
            plan();
        }
    }

    /** Returns what is resident where. */
    public Residence residence() {
        return mFleet.residence();
    }

    private void plan() {
        mChanged.stream().filter(mFleet::isListed).forEach(this::showPlanner);
        mChanged.clear();
        mDemand.smooth().forEach(mPlanner::demand);
        List<OrderRequest> steps = mPlanner.plan(mLimits.loadsAtOnce());
        steps.forEach(step -> mOutbox.forward(PlacementSteps.toMessage(step)));
    }

    private OrderRequest.Answer request(OrderRequest request) {
        EndpointOrders orders = mOrders.get(request.endpoint());
        if (orders == null) {
            return OrderRequest.Answer.NOT_HELD;
        }
        boolean unwitnessed =
                request.action() == OrderAction.UNLOAD_MODEL
                        && request.witnesses().isEmpty()
                        && mFleet.isListedModel(request.artifact().name());
        return unwitnessed ? OrderRequest.Answer.LAST_COPY : orders.request(request);
    }

    private void showPlanner(String endpoint) {
        mPlanner.update(
                EndpointViews.of(
                        mFleet.endpoint(endpoint),
                        mFleet.history(endpoint),
                        mFleet.isLive(endpoint)));
    }

    /** Creates the orders of an endpoint. */
    @FunctionalInterface
    interface OrdersFactory {
        EndpointOrders create(
                EndpointHistory history,
                DutyLeases leases,
                PlacementOutbox outbox,
                UnloadGuard guard,
                Supplier<WeightStoreLimits> limits,
                OrderSettings settings,
                Clock clock);
    }

    /** Builds {@link Placement}. */
    public static final class Builder {
        private final DutyLeases mLeases;
        private final PlacementOutbox mOutbox;
        private final Clock mClock;
        private OrderSettings mOrderSettings = OrderSettings.defaults();
        private PlannerSettings mPlannerSettings = PlannerSettings.defaults();
        private Duration mPlanInterval = Duration.ofSeconds(1);
        private Duration mDemandTimeConstant = Duration.ofMinutes(1);
        private Duration mDemandReportLife = Duration.ofSeconds(30);
        private OrdersFactory mOrdersFactory = EndpointOrders::new;
        private Function<OrderSettings, OrderHistory> mHistories = OrderHistory::new;

        private Builder(DutyLeases leases, PlacementOutbox outbox, Clock clock) {
            mLeases = Objects.requireNonNull(leases, "leases");
            mOutbox = Objects.requireNonNull(outbox, "outbox");
            mClock = Objects.requireNonNull(clock, "clock");
        }

        /** Sets the times and bounds of orders. */
        public Builder orders(OrderSettings settings) {
            mOrderSettings = Objects.requireNonNull(settings, "settings");
            return this;
        }

        /** Sets what the planner weighs moves with. */
        public Builder planner(PlannerSettings settings) {
            mPlannerSettings = Objects.requireNonNull(settings, "settings");
            return this;
        }

        /** Sets the time between plans. */
        public Builder planInterval(Duration planInterval) {
            mPlanInterval = Objects.requireNonNull(planInterval, "planInterval");
            return this;
        }

        /** Sets the time in which the demand that is planned for follows two thirds of a change. */
        public Builder demandTimeConstant(Duration demandTimeConstant) {
            mDemandTimeConstant = Objects.requireNonNull(demandTimeConstant, "timeConstant");
            return this;
        }

        /** Sets the time after which a node's last demand report counts for nothing. */
        public Builder demandReportLife(Duration demandReportLife) {
            mDemandReportLife = Objects.requireNonNull(demandReportLife, "reportLife");
            return this;
        }

        Builder histories(Function<OrderSettings, OrderHistory> histories) {
            mHistories = histories;
            return this;
        }

        Builder ordersFactory(OrdersFactory ordersFactory) {
            mOrdersFactory = ordersFactory;
            return this;
        }

        /** Returns placement without configuration, which does nothing. */
        public Placement build() {
            return new Placement(this);
        }
    }
}
