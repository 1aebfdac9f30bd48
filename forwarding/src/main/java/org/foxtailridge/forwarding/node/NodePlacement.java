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
import org.foxtailridge.forwarding.front.ForwardedDemand;
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
import org.foxtailridge.protocol.placement.DemandReport;
import org.foxtailridge.protocol.placement.EndpointLoad;
import org.foxtailridge.protocol.placement.ModelDemand;
import org.foxtailridge.protocol.placement.PlacementMessage;

/** Models and adapters: what this node asks for, and orders while it holds that duty. */
final class NodePlacement
        implements AnnouncedPlacementOutbox, AdapterLoader, DutyListener, EndpointListener {
    private static final Logger LOGGER = LogManager.getLogger(NodePlacement.class);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);
    // Reports are some hundred milliseconds old, so that asking more often brings nothing.
    private static final long ASK_PAUSE_MILLISECONDS = 100;
    private static final long DEMAND_MILLISECONDS = 300;

    private final ForwardingSettings mSettings;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final EngineControl mEngines;
    private final NodeMembership mMembers;
    private final NodeDuties mDuties;
    private final DatagramNetwork mNetwork;
    private final AnnouncedPlacement mPlacement;
    private final AdapterWaits mWaits;
    private final Set<String> mAsked = new HashSet<>();
    private final Map<String, Long> mAskedMilliseconds = new HashMap<>();
    private NodeEndpoints mEndpoints;
    private ForwardedDemand mDemand;
    private long mDemandMilliseconds;

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
        mWaits = new AdapterWaits(loop);
        mPlacement = new AnnouncedPlacement(AnnouncedPlacementSettings.defaults(), clock, this);
        network.receive(Subject.PLACEMENT, PlacementMessage.parser(), this::receive);
    }

    void use(NodeEndpoints endpoints, ForwardedDemand demand) {
        mEndpoints = endpoints;
        mDemand = demand;
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
        if (now - mDemandMilliseconds >= DEMAND_MILLISECONDS) {
            mDemandMilliseconds = now;
            tellDemand();
        }
        mPlacement.tick();
    }

    @Override
    public Runnable load(EndpointName endpoint, WantedModel wanted, Consumer<Boolean> done) {
        Optional<EndpointAnnouncement> found = mEndpoints.find(endpoint);
        if (found.isEmpty()) {
            mLoop.execute(() -> done.accept(false));
            return () -> {};
        }
        String model = RequestTargets.modelName(found.get().service(), wanted.model());
        AdapterKey key = new AdapterKey(endpoint.value(), model, wanted.adapter().orElseThrow());
        return mWaits.add(key, done, () -> ask(key));
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
        mMembers.sendToPeers(Subject.PLACEMENT, message);
        onResidence(residence);
    }

    @Override
    public void modelResident(String engine, long engineStart, String model, boolean resident) {
        adapterResident(engine, engineStart, model, AdapterBeliefs.MODEL_ITSELF, resident);
    }

    @Override
    public void askReport(String engine) {
        ask(engine);
    }

    @Override
    public void held(HeldDuty duty, OptionalLong former) {
        if (duty.partition() == DutyPartitions.ORDERS) {
            boolean first = former.isEmpty();
            Instant from =
                    first ? duty.acquiredAt() : duty.acquiredAt().plus(mSettings.orderPause());
            mPlacement.lease(Optional.of(new OrderLease(duty.fencing(), from, duty.validUntil())));
        }
    }

    @Override
    public void released(HeldDuty duty) {
        lapsed(duty);
    }

    @Override
    public void lapsed(HeldDuty duty) {
        if (duty.partition() == DutyPartitions.ORDERS) {
            mPlacement.lease(Optional.empty());
        }
    }

    @Override
    public void elsewhere(int partition, NodeName holder, long fencing) {
        // Who holds the orders is asked for when a message to the holder is due.
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
        mAskedMilliseconds.remove(former.id());
    }

    private void ask(AdapterKey key) {
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

    private void onResidence(AdapterResidence residence) {
        mEndpoints.adapterResident(
                residence.getEndpoint(),
                residence.getEndpointStart(),
                residence.getModel(),
                residence.getAdapter(),
                residence.getResident());
        AdapterKey key =
                new AdapterKey(
                        residence.getEndpoint(), residence.getModel(), residence.getAdapter());
        mWaits.end(key, residence.getResident());
    }

    private void receive(NodeName sender, PlacementMessage message) {
        switch (message.getKindCase()) {
            case DEMAND -> onDemand(sender, message.getDemand());
            case WANTED ->
                    mPlacement.adapterWanted(
                            message.getWanted().getEndpoint(),
                            message.getWanted().getModel(),
                            message.getWanted().getAdapter());
            case RESIDENCE -> onResidence(message.getResidence());
            default -> LOGGER.debug("message of {} has an unknown kind", sender);
        }
    }

    private void onDemand(NodeName sender, DemandReport report) {
        Map<String, Double> underWay = new HashMap<>();
        for (ModelDemand demand : report.getModelsList()) {
            underWay.put(demand.getModel(), (double) demand.getRunning());
        }
        mPlacement.demand(sender.value(), underWay);
        Map<String, Integer> inFlight = new HashMap<>();
        for (EndpointLoad load : report.getEndpointsList()) {
            inFlight.put(load.getEndpoint(), load.getInFlight());
        }
        mEndpoints.load().told(sender, inFlight, mClock.millis());
    }

    /** Tells all nodes what this one asks for and has in flight. */
    private void tellDemand() {
        DemandReport.Builder report =
                DemandReport.newBuilder()
                        .setNode(mSettings.name().value())
                        .setDataCentre(mSettings.dataCentre().value());
        Map<String, Double> underWay = new LinkedHashMap<>();
        mDemand.collect()
                .forEach(
                        (name, demand) -> {
                            // What came and went between two reports counts as one under way.
                            double count = Math.max(demand.underWay(), came(demand) ? 1 : 0);
                            underWay.put(name, count);
                            report.addModels(
                                    ModelDemand.newBuilder()
                                            .setModel(name)
                                            .setRequestsPerSecond(demand.requestsPerSecond())
                                            .setTokensPerSecond(demand.tokensPerSecond())
                                            .setRunning((int) Math.ceil(count)));
                        });
        for (EndpointAnnouncement endpoint : mEndpoints.all()) {
            int inFlight = mEndpoints.inFlight(endpoint);
            if (inFlight > 0) {
                report.addEndpoints(
                        EndpointLoad.newBuilder().setEndpoint(endpoint.id()).setInFlight(inFlight));
            }
        }
        mPlacement.demand(mSettings.name().value(), underWay);
        PlacementMessage message = PlacementMessage.newBuilder().setDemand(report).build();
        mMembers.sendToPeers(Subject.PLACEMENT, message);
        mEndpoints.reportLoads();
    }

    private static boolean came(ForwardedDemand.Demand demand) {
        return demand.requestsPerSecond() > 0;
    }

    private void ask(String engine) {
        Optional<EndpointAnnouncement> found = mEndpoints.find(EndpointName.of(engine));
        long now = mClock.millis();
        boolean lately = now - mAskedMilliseconds.getOrDefault(engine, 0L) < ASK_PAUSE_MILLISECONDS;
        if (found.isEmpty() || lately || !mAsked.add(engine)) {
            return;
        }
        mAskedMilliseconds.put(engine, now);
        mEngines.fetchReport(found.get(), REPORT_TIMEOUT)
                .whenComplete(
                        (report, failure) -> {
                            mAsked.remove(engine);
                            if (failure == null) {
                                onReport(found.get(), report);
                            } else {
                                LOGGER.debug("no report of {}: {}", engine, failure.toString());
                                mPlacement.noReport(engine);
                            }
                        });
    }

    private void onReport(EndpointAnnouncement engine, EngineReport report) {
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
