package org.foxtailridge.node.duty;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.clients.engine.EngineClient;
import org.foxtailridge.clients.engine.LoadReport;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogRecord;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.membership.lease.HeldLease;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.placement.Placement;
import org.foxtailridge.placement.order.DutyLease;
import org.foxtailridge.placement.order.DutyLeases;
import org.foxtailridge.placement.order.OrderRecordCodec;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.placement.AdapterWanted;
import org.foxtailridge.protocol.placement.PlacementMessage;
import org.foxtailridge.protocol.placement.PlacementStep;

/** Runs placement on a thread of its own: follows the orders, plans and gives orders by lease. */
@Singleton
public final class PlacementDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(PlacementDuty.class);
    private static final String STREAM = "orders";
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration DEMAND_INTERVAL = Duration.ofSeconds(1);

    private final DutyThread mThread;
    private final PeerNetwork mPeers;
    private final LogService mLog;
    private final LeasesDuty mLeases;
    private final DemandCounter mDemand;
    private final DutyTimer mTimer;
    private final NodeName mSelf;
    private final Placement mPlacement;
    private long mNextOffset;

    /** Creates the duty and starts its thread; {@link #start} begins to read. */
    @Inject
    public PlacementDuty(
            NodeSettings settings,
            PeerIdentity identity,
            Clock clock,
            PeerNetwork peers,
            PeerMessages messages,
            LogService log,
            EngineClient engines,
            LeasesDuty leases,
            ReportsDuty reports,
            ConfigurationView configuration,
            DemandCounter demand,
            DutyTimer timer) {
        mPeers = peers;
        mLog = log;
        mLeases = leases;
        mDemand = demand;
        mTimer = timer;
        mSelf = identity.name();
        mThread = DutyThread.start("placement", settings.ringTasks());
        PlacementOrders orders =
                new PlacementOrders(mThread, log, engines, configuration, clock, this::forward);
        mPlacement = Placement.builder(new HeldDuties(leases), orders, clock).build();
        orders.answersTo(mPlacement);
        configuration.listen(
                (former, current) -> mThread.offer(() -> mPlacement.configuration(current)));
        reports.listen((name, report) -> mThread.offer(() -> onReport(name, report)));
        messages.receive(Subject.PLACEMENT, this::onMessage);
        timer.every(TICK, mThread, mPlacement::tick);
        timer.every(DEMAND_INTERVAL, mThread, this::reportDemand);
    }

    /** Begins to read the stream. */
    public void start() {
        LogTail.of(STREAM, mLog, mThread, mTimer).from(() -> mNextOffset).to(this::onPage).start();
    }

    /** Asks for an adapter that a request misses on an endpoint. */
    public void wanted(String endpoint, String model, String adapter) {
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setEndpoint(endpoint)
                        .setModel(model)
                        .setAdapter(adapter)
                        .build();
        sendToHolder(
                DutyNames.ordersOf(endpoint),
                PlacementMessage.newBuilder().setWanted(wanted).build());
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void onPage(LogPage page) {
        for (LogRecord record : page.records()) {
            mPlacement.record(OrderRecordCodec.decode(record.payload()), record.timeMs());
            mNextOffset = record.offset() + 1;
        }
    }

    /** An empty report says that the endpoint doesn't answer. */
    private void onReport(EndpointName name, Optional<LoadReport> report) {
        mPlacement.live(name.value(), report.isPresent());
        report.ifPresent(
                present -> mPlacement.report(PlacementReports.from(name.value(), present)));
    }

    private void reportDemand() {
        PlacementMessage message =
                PlacementMessage.newBuilder().setDemand(mDemand.report(DEMAND_INTERVAL)).build();
        sendToHolder(DutyNames.PLANNING, message);
    }

    private void forward(PlacementStep step) {
        sendToHolder(
                DutyNames.ordersOf(step.getEndpoint()),
                PlacementMessage.newBuilder().setStep(step).build());
    }

    private void sendToHolder(String duty, PlacementMessage message) {
        mLeases.holding()
                .shownOf(duty)
                .ifPresent(
                        lease -> {
                            if (lease.node().equals(mSelf)) {
                                mThread.offer(() -> receive(message));
                            } else {
                                mPeers.send(lease.node(), Subject.PLACEMENT, message);
                            }
                        });
    }

    private void onMessage(NodeName sender, ByteString payload) {
        try {
            PlacementMessage message = PlacementMessage.parseFrom(payload);
            mThread.offer(() -> receive(message));
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("node {} sent a message of placement that can't be read", sender);
        }
    }

    private void receive(PlacementMessage message) {
        switch (message.getKindCase()) {
            case DEMAND -> mPlacement.demand(message.getDemand());
            case STEP -> mPlacement.step(message.getStep());
            case WANTED -> mPlacement.wanted(message.getWanted());
            default -> {}
        }
    }

    /** The duties of placement that this node holds. */
    private record HeldDuties(LeasesDuty leases) implements DutyLeases {
        @Override
        public Optional<DutyLease> ordersOf(String endpoint) {
            return leaseOf(DutyNames.ordersOf(endpoint));
        }

        @Override
        public Optional<DutyLease> planning() {
            return leaseOf(DutyNames.PLANNING);
        }

        private Optional<DutyLease> leaseOf(String duty) {
            Optional<HeldLease> held = leases.holding().heldOf(duty);
            return held.map(lease -> new DutyLease(lease.fencing(), lease.validUntil()));
        }
    }
}
