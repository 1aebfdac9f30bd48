package org.foxtailridge.forwarding.node;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.forwarding.configuration.ForwardingService;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.endpoint.EndpointListener;
import org.foxtailridge.forwarding.engine.EngineControl;
import org.foxtailridge.forwarding.engine.EngineReport;
import org.foxtailridge.forwarding.front.AdapterLoader;
import org.foxtailridge.forwarding.front.RequestTargets;
import org.foxtailridge.forwarding.request.WantedModel;
import org.foxtailridge.membership.group.HeldDuty;
import org.foxtailridge.placement.announced.AnnouncedPlacement;
import org.foxtailridge.placement.announced.AnnouncedPlacementOutbox;
import org.foxtailridge.placement.announced.AnnouncedPlacementSettings;
import org.foxtailridge.placement.announced.ModelOrder;
import org.foxtailridge.placement.announced.ModelOrderAnswer;
import org.foxtailridge.placement.announced.OrderLease;
import org.foxtailridge.placement.announced.PoolSize;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.placement.AdapterResidence;
import org.foxtailridge.protocol.placement.AdapterWanted;
import org.foxtailridge.protocol.placement.PlacementMessage;

/**
 * Connects placement to network, duties and engines. Each node requests the adapters that its
 * requests need; the holder of the duty of placement orders also sends orders to engines and tells
 * all nodes what engines hold. Confined to the event loop.
 */
final class NodePlacement
        implements AnnouncedPlacementOutbox, AdapterLoader, DutyListener, EndpointListener {
    private static final Logger LOGGER = LogManager.getLogger(NodePlacement.class);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);
    // Reports are some hundred milliseconds old, so that shorter intervals bring no newer data.
    private static final long REPORT_INTERVAL_MILLISECONDS = 100;
    private static final long RESIDENCE_INTERVAL_MILLISECONDS = 100;
    // Bounds the memory for requests that the placement never answers.
    private static final int MAXIMUM_REQUESTERS = 1_024;

    private final ForwardingSettings mSettings;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final EngineControl mEngines;
    private final NodeMembership mMembers;
    private final NodeDuties mDuties;
    private final DatagramNetwork mNetwork;
    private final AnnouncedPlacement mPlacement;
    private final PendingAdapterLoads mPendingLoads;
    private final Set<String> mReportsInFlight = new HashSet<>();
    private final Map<String, Long> mLastReportMilliseconds = new HashMap<>();
    private final Map<AdapterKey, Set<NodeName>> mRequesters = new LinkedHashMap<>();
    private final List<AdapterResidence> mUnsentResidences = new ArrayList<>();
    private NodeEndpoints mEndpoints;
    private NodeDigests mDigests;
    private long mLastResidencesMilliseconds;

    NodePlacement(
            ForwardingSettings settings,
            EventLoop loop,
            Clock clock,
            EngineControl engines,
            NodeMembership members,
            NodeDuties duties,
            DatagramNetwork network) {
        mSettings = settings;
        mLoop = loop;
        mClock = clock;
        mEngines = engines;
        mMembers = members;
        mDuties = duties;
        mNetwork = network;
        mPendingLoads = new PendingAdapterLoads(loop);
        mPlacement = new AnnouncedPlacement(AnnouncedPlacementSettings.defaults(), clock, this);
        network.receive(Subject.PLACEMENT, PlacementMessage.parser(), this::receive);
    }

    /** Sets the components that are created after this one; called once, before any event. */
    void attach(NodeEndpoints endpoints, NodeDigests digests) {
        mEndpoints = endpoints;
        mDigests = digests;
    }

    /** Replaces the demand of one node or of one part of the fleet. */
    void updateDemand(String source, Map<String, Double> underWay) {
        mPlacement.demand(source, underWay);
    }

    void configurationChanged(ForwardingConfiguration configuration) {
        List<PoolSize> pools = new ArrayList<>();
        for (ForwardingService service : configuration.services()) {
            service.engines()
                    .ifPresent(engines -> pools.add(EngineViews.pool(service.name(), engines)));
        }
        mPlacement.pools(pools);
        mEndpoints.all().forEach(endpoint -> announced(Optional.empty(), endpoint));
    }

    void tick() {
        long now = mClock.millis();
        if (now - mLastResidencesMilliseconds >= RESIDENCE_INTERVAL_MILLISECONDS) {
            mLastResidencesMilliseconds = now;
            mDigests.sendResidences(mUnsentResidences);
            mUnsentResidences.clear();
        }
        mPlacement.tick();
    }

    @Override
    public Runnable load(
            EndpointName endpoint, WantedModel requested, Consumer<Boolean> onResident) {
        Optional<EndpointAnnouncement> found = mEndpoints.find(endpoint);
        if (found.isEmpty()) {
            mLoop.execute(() -> onResident.accept(false));
            return () -> {};
        }
        String model = RequestTargets.modelName(found.get().service(), requested.model());
        AdapterKey key = new AdapterKey(endpoint.value(), model, requested.adapter().orElseThrow());
        return mPendingLoads.add(key, onResident, () -> requestAdapter(key));
    }

    @Override
    public void send(ModelOrder order, Instant notAfter) {
        Optional<EndpointAnnouncement> engine = mEndpoints.find(EndpointName.of(order.engine()));
        boolean late = !mClock.instant().isBefore(notAfter);
        if (engine.isEmpty() || late) {
            mLoop.execute(() -> mPlacement.answered(order.number(), ModelOrderAnswer.NOT_SENT));
            return;
        }
        String model = order.model().substring(engine.get().service().length() + 1);
        mEngines.sendOrder(engine.get(), model, order, mSettings.label(), ORDER_TIMEOUT)
                .thenAccept(answer -> mPlacement.answered(order.number(), answer));
    }

    @Override
    public void adapterResident(
            String engine, long engineStart, String model, String adapter, boolean resident) {
        AdapterResidence residence =
                AdapterResidence.newBuilder()
                        .setEndpoint(engine)
                        .setEndpointStart(engineStart)
                        .setModel(model)
                        .setAdapter(adapter)
                        .setResident(resident)
                        .build();
        PlacementMessage message = PlacementMessage.newBuilder().setResidence(residence).build();
        if (NodeDigests.isDirect(mMembers)) {
            mMembers.sendToPeers(Subject.PLACEMENT, message);
        } else {
            // The nodes whose requests wait are answered at once, the others with the next batch.
            AdapterKey key = new AdapterKey(engine, model, adapter);
            Optional.ofNullable(mRequesters.remove(key))
                    .ifPresent(
                            nodes ->
                                    nodes.forEach(
                                            node ->
                                                    mNetwork.send(
                                                            node, Subject.PLACEMENT, message)));
            mUnsentResidences.add(residence);
        }
        applyResidence(residence);
    }

    @Override
    public void modelResident(String engine, long engineStart, String model, boolean resident) {
        adapterResident(engine, engineStart, model, AdapterResidency.BASE_MODEL, resident);
    }

    @Override
    public void askReport(String engine) {
        requestReport(engine);
    }

    @Override
    public void held(HeldDuty duty, OptionalLong former) {
        if (duty.partition() == DutyPartitions.ORDERS) {
            boolean firstHolder = former.isEmpty();
            Instant from =
                    firstHolder
                            ? duty.acquiredAt()
                            : duty.acquiredAt().plus(mSettings.orderPause());
            mPlacement.lease(Optional.of(new OrderLease(duty.fencing(), from, duty.validUntil())));
        }
    }

    @Override
    public void released(HeldDuty duty) {
        expired(duty);
    }

    @Override
    public void expired(HeldDuty duty) {
        if (duty.partition() == DutyPartitions.ORDERS) {
            mPlacement.lease(Optional.empty());
        }
    }

    @Override
    public void heldByPeer(int partition, NodeName holder, long fencing) {
        // The holder is looked up when a message to it is sent.
    }

    @Override
    public void announced(Optional<EndpointAnnouncement> former, EndpointAnnouncement current) {
        mPlacement.engine(
                EngineViews.view(
                        current,
                        OptionalLong.empty(),
                        false,
                        current.models(),
                        current.inHostMemory(),
                        current.onDisk()));
    }

    @Override
    public void gone(EndpointAnnouncement former) {
        mPlacement.engineGone(former.id());
        mLastReportMilliseconds.remove(former.id());
    }

    private void requestAdapter(AdapterKey key) {
        Optional<NodeName> holder = mDuties.holder(DutyPartitions.ORDERS);
        if (holder.isEmpty()) {
            return;
        }
        if (holder.get().equals(mSettings.name())) {
            mPlacement.adapterWanted(key.endpoint(), key.model(), key.adapter());
            return;
        }
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setEndpoint(key.endpoint())
                        .setModel(key.model())
                        .setAdapter(key.adapter())
                        .build();
        mNetwork.send(
                holder.get(),
                Subject.PLACEMENT,
                PlacementMessage.newBuilder().setWanted(wanted).build());
    }

    private void onWanted(NodeName sender, AdapterWanted wanted) {
        AdapterKey key =
                new AdapterKey(wanted.getEndpoint(), wanted.getModel(), wanted.getAdapter());
        mRequesters.computeIfAbsent(key, newKey -> new HashSet<>()).add(sender);
        if (mRequesters.size() > MAXIMUM_REQUESTERS) {
            mRequesters.remove(mRequesters.keySet().iterator().next());
        }
        mPlacement.adapterWanted(wanted.getEndpoint(), wanted.getModel(), wanted.getAdapter());
    }

    /** Applies a change that the holder of the placement orders announces. */
    void applyResidence(AdapterResidence residence) {
        mEndpoints.updateResidence(
                residence.getEndpoint(),
                residence.getEndpointStart(),
                residence.getModel(),
                residence.getAdapter(),
                residence.getResident());
        AdapterKey key =
                new AdapterKey(
                        residence.getEndpoint(), residence.getModel(), residence.getAdapter());
        mPendingLoads.complete(key, residence.getResident());
    }

    private void receive(NodeName sender, PlacementMessage message) {
        switch (message.getKindCase()) {
            case DEMAND -> mEndpoints.loads().onReport(sender, message.getDemand());
            case WANTED -> onWanted(sender, message.getWanted());
            case RESIDENCE -> applyResidence(message.getResidence());
            default -> LOGGER.debug("ignored a placement message of {} of unknown kind", sender);
        }
    }

    private void requestReport(String engine) {
        Optional<EndpointAnnouncement> found = mEndpoints.find(EndpointName.of(engine));
        long now = mClock.millis();
        boolean tooSoon =
                now - mLastReportMilliseconds.getOrDefault(engine, 0L)
                        < REPORT_INTERVAL_MILLISECONDS;
        if (found.isEmpty() || tooSoon || !mReportsInFlight.add(engine)) {
            return;
        }
        mLastReportMilliseconds.put(engine, now);
        mEngines.fetchReport(found.get(), REPORT_TIMEOUT)
                .whenComplete(
                        (report, failure) -> {
                            mReportsInFlight.remove(engine);
                            if (failure == null) {
                                applyReport(found.get(), report);
                            } else {
                                LOGGER.debug(
                                        "engine {} returned no report: {}",
                                        engine,
                                        failure.toString());
                                mPlacement.noReport(engine);
                            }
                        });
    }

    private void applyReport(EndpointAnnouncement engine, EngineReport report) {
        long start = report.startMilliseconds().orElse(engine.startMilliseconds());
        if (start != engine.startMilliseconds()) {
            return;
        }
        mPlacement.engine(
                EngineViews.view(
                        engine,
                        OptionalLong.of(report.ordersAccepted()),
                        report.executingOrder(),
                        report.models(),
                        report.inHostMemory(),
                        report.onDisk()));
        mPlacement.tick();
    }
}
