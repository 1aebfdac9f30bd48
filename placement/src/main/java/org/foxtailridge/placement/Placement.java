package org.foxtailridge.placement;

import java.time.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.WeightStore;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.engine.Resident;
import org.foxtailridge.placement.engine.ResidentState;
import org.foxtailridge.placement.order.Admission;
import org.foxtailridge.placement.order.DutyLeases;
import org.foxtailridge.placement.order.EndpointHistory;
import org.foxtailridge.placement.order.EndpointOrders;
import org.foxtailridge.placement.order.Order;
import org.foxtailridge.placement.order.OrderAnswer;
import org.foxtailridge.placement.order.OrderHistory;
import org.foxtailridge.placement.order.OrderRecord;
import org.foxtailridge.placement.order.OrderRequest;
import org.foxtailridge.placement.order.OrderSettings;
import org.foxtailridge.placement.order.WeightStoreLimits;
import org.foxtailridge.placement.plan.PlacementPlanner;

/**
 * Placement on one node: folds the stream {@code orders}, gives the orders of the endpoints whose
 * duty this node holds, and plans while it holds the planning duty. Runs on one thread.
 *
 * <pre>{@code
 * Placement placement = Placement.create(leases, outbox, OrderSettings.defaults(), clock);
 * placement.configuration(configuration);
 * placement.record(OrderRecordCodec.decode(payload), recordTimeMilliseconds);
 * placement.report(loadReport);
 * placement.live("stone-1", true);
 * placement.tick(); // every 100 ms
 * Residence residence = placement.residence();
 * }</pre>
 */
public final class Placement {
    private static final WeightStoreLimits CAUTIOUS_LIMITS = new WeightStoreLimits(1, 1, 1);

    private final DutyLeases mLeases;
    private final PlacementOutbox mOutbox;
    private final OrderSettings mSettings;
    private final Clock mClock;
    private final OrderHistory mHistory;
    private final PlacementPlanner mPlanner = new PlacementPlanner();
    private final Map<String, EndpointOrders> mOrders = new TreeMap<>();
    private final Map<String, Endpoint> mEndpoints = new TreeMap<>();
    private final Map<String, Model> mModels = new HashMap<>();
    private final Set<String> mLive = new HashSet<>();
    private WeightStoreLimits mLimits = CAUTIOUS_LIMITS;

    private Placement(
            DutyLeases leases, PlacementOutbox outbox, OrderSettings settings, Clock clock) {
        mLeases = Objects.requireNonNull(leases, "leases");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mHistory = new OrderHistory(settings);
    }

    /** Returns placement without configuration, which does nothing. */
    public static Placement create(
            DutyLeases leases, PlacementOutbox outbox, OrderSettings settings, Clock clock) {
        return new Placement(leases, outbox, settings, clock);
    }

    /** Puts a configuration in force. */
    public void configuration(Configuration configuration) {
        mModels.clear();
        configuration.all(Model.class).forEach(model -> mModels.put(model.name(), model));
        mPlanner.models(configuration.all(Model.class));
        mLimits =
                configuration
                        .find(WeightStore.class, "default")
                        .map(WeightStoreLimits::of)
                        .orElse(CAUTIOUS_LIMITS);
        Map<String, Endpoint> listed = new TreeMap<>();
        configuration.all(Endpoint.class).stream()
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                .forEach(endpoint -> listed.put(endpoint.name(), endpoint));
        Set.copyOf(mEndpoints.keySet()).stream()
                .filter(name -> !listed.containsKey(name))
                .forEach(this::remove);
        listed.values().forEach(this::put);
    }

    /** Notes whether an endpoint answers. */
    public void live(String endpoint, boolean live) {
        if (live) {
            mLive.add(endpoint);
        } else {
            mLive.remove(endpoint);
        }
        refresh(endpoint);
    }

    /** Applies a load report; the reports of an endpoint are polled one after the other. */
    public void report(LoadReport report) {
        mHistory.report(report);
        EndpointOrders orders = mOrders.get(report.endpoint());
        if (orders != null) {
            orders.reported();
        }
        refresh(report.endpoint());
    }

    /** Applies a record of the stream {@code orders}, in the order of the log. */
    public void record(OrderRecord record, long logMilliseconds) {
        Admission admission = mHistory.apply(record, logMilliseconds);
        EndpointOrders orders = mOrders.get(record.endpoint());
        if (orders != null) {
            orders.recorded(record, admission);
        }
        refresh(record.endpoint());
    }

    /** Carries out a step of the plan, on the node that holds the duty of the endpoint's orders. */
    public OrderRequest.Answer requested(OrderRequest request) {
        EndpointOrders orders = mOrders.get(request.endpoint());
        return orders == null ? OrderRequest.Answer.NOT_HELD : orders.request(request);
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
        mOrders.values().forEach(EndpointOrders::tick);
        boolean plans =
                mLeases.planning().filter(lease -> lease.isGoodAt(mClock.instant())).isPresent();
        if (plans) {
            mPlanner.plan().forEach(mOutbox::request);
        }
    }

    /** Returns what is resident where. */
    public Residence residence() {
        Residence.Builder residence = Residence.builder();
        for (String endpoint : mEndpoints.keySet()) {
            EndpointHistory history = mHistory.find(endpoint).orElseThrow();
            if (mLive.contains(endpoint)) {
                serving(history).forEach(artifact -> residence.add(endpoint, artifact));
            }
        }
        return residence.build();
    }

    private void put(Endpoint endpoint) {
        EndpointHistory history =
                mHistory.endpoint(
                        endpoint.name(), endpoint.memoryBytes(), endpoint.honoursFencing());
        history.ledger().workingBytes(this::workingBytes);
        mEndpoints.put(endpoint.name(), endpoint);
        mOrders.computeIfAbsent(
                endpoint.name(),
                name ->
                        new EndpointOrders(
                                history,
                                mLeases,
                                mOutbox,
                                this::mayUnload,
                                () -> mLimits,
                                mSettings,
                                mClock));
        refresh(endpoint.name());
    }

    private void remove(String endpoint) {
        mEndpoints.remove(endpoint);
        mOrders.remove(endpoint);
        mPlanner.remove(endpoint);
        mHistory.forget(endpoint);
    }

    private void refresh(String name) {
        Endpoint endpoint = mEndpoints.get(name);
        if (endpoint != null) {
            EndpointHistory history = mHistory.find(name).orElseThrow();
            mPlanner.update(EndpointViews.of(endpoint, history, mLive.contains(name)));
        }
    }

    private boolean mayUnload(Order unload, List<String> witnesses) {
        String model = unload.artifact().model();
        if (!unload.artifact().isModel() || !mModels.containsKey(model)) {
            return true;
        }
        return mEndpoints.keySet().stream()
                .filter(endpoint -> !endpoint.equals(unload.endpoint()) && mLive.contains(endpoint))
                .map(endpoint -> mHistory.find(endpoint).orElseThrow())
                .flatMap(history -> serving(history).stream())
                .anyMatch(artifact -> artifact.isModel() && artifact.model().equals(model));
    }

    private static List<Artifact> serving(EndpointHistory history) {
        return history.report().map(LoadReport::residents).orElse(List.of()).stream()
                .filter(resident -> resident.state() == ResidentState.RESIDENT)
                .map(Resident::artifact)
                .filter(artifact -> !history.isGoing(artifact))
                .toList();
    }

    private long workingBytes(Artifact artifact) {
        Model model = artifact.isModel() ? mModels.get(artifact.name()) : null;
        return model == null ? 0 : model.workingBytes();
    }
}
