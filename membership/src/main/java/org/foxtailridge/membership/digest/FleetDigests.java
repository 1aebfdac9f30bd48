package org.foxtailridge.membership.digest;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.digest.CentreDigest;
import org.foxtailridge.protocol.digest.DemandDigest;
import org.foxtailridge.protocol.digest.DigestMessage;
import org.foxtailridge.protocol.digest.DutyHolder;
import org.foxtailridge.protocol.digest.FleetDigest;
import org.foxtailridge.protocol.digest.FleetState;
import org.foxtailridge.protocol.digest.ModelLoad;
import org.foxtailridge.protocol.digest.NodeReport;
import org.foxtailridge.protocol.digest.ResidenceDigest;
import org.foxtailridge.protocol.placement.AdapterResidence;
import org.foxtailridge.protocol.placement.EndpointLoad;

/**
 * Tells each node what the others have in flight, over one collector per data centre.
 *
 * <p>Every node reports to the collector of its data centre. Collectors exchange sums, answer each
 * report with the state of the whole fleet, and send the demand for models to the one node that
 * gives placement orders. With N nodes in D data centres that are 2 N + D² messages per interval.
 *
 * <p>No agreement on the collector is needed: a node acts as collector for those that report to it.
 * A node whose collector does not answer turns to the next one by rendezvous rank; its reports then
 * count twice until the former collector drops them, after {@link DigestSettings#maximumAge}. A
 * node that hears no collector knows its own attempts only. Not thread-safe.
 *
 * <pre>{@code
 * FleetDigests digests = new FleetDigests(settings, self, dataCentre, clock, outbox, listener);
 * digests.updateNodes(dataCentresByLiveNode);
 * digests.report(inFlightByEndpoint, underWayByModel, heldDuties); // once in an interval
 * digests.tick();                                                  // several times a second
 * digests.onMessage(sender, message);
 * int others = digests.inFlightOfOthers("endpoint-1");
 * }</pre>
 */
public final class FleetDigests {
    private static final Logger LOGGER = LogManager.getLogger(FleetDigests.class);
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    // A digest answers one of the last few reports; older ones are from before a delay of seconds.
    private static final int KEPT_REPORTS = 16;

    private final DigestSettings mSettings;
    private final NodeName mSelf;
    private final DataCentreName mDataCentre;
    private final Clock mClock;
    private final DigestOutbox mOutbox;
    private final DigestListener mListener;
    private final Collector mCollector;
    private final KnownHolders mHolders;
    private final CollectorSelection mOwnSelection;
    private final Map<DataCentreName, CollectorSelection> mOtherSelections = new HashMap<>();
    private final Deque<NodeReport> mOwnReports = new ArrayDeque<>();
    private final Map<NodeName, Integer> mDemandParts = new HashMap<>();
    private Optional<NodeName> mOwnCollector = Optional.empty();
    private List<NodeName> mActiveCollectors = List.of();
    private EndpointLoads mLoads = new EndpointLoads();
    private long mLoadsReceivedMilliseconds;
    private boolean mHasLoads;
    private long mSequence;
    private long mNextDigestMilliseconds;

    /** Creates the state of a node that knows no other node. */
    public FleetDigests(
            DigestSettings settings,
            NodeName self,
            DataCentreName dataCentre,
            Clock clock,
            DigestOutbox outbox,
            DigestListener listener) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mSelf = Objects.requireNonNull(self, "self");
        mDataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mListener = Objects.requireNonNull(listener, "listener");
        mCollector = new Collector(settings, self);
        mHolders = new KnownHolders(listener);
        mOwnSelection = new CollectorSelection(dataCentre, settings);
        mOwnSelection.updateNodes(List.of(self));
    }

    /** Replaces the live nodes that may be collectors; this node always is one. */
    public void updateNodes(Map<NodeName, DataCentreName> nodes) {
        Map<DataCentreName, Set<NodeName>> byDataCentre = new HashMap<>();
        byDataCentre.computeIfAbsent(mDataCentre, name -> new HashSet<>()).add(mSelf);
        nodes.forEach(
                (node, dataCentre) ->
                        byDataCentre
                                .computeIfAbsent(dataCentre, name -> new HashSet<>())
                                .add(node));
        mOwnSelection.updateNodes(byDataCentre.remove(mDataCentre));
        mOtherSelections.keySet().retainAll(byDataCentre.keySet());
        byDataCentre.forEach(
                (dataCentre, members) ->
                        mOtherSelections
                                .computeIfAbsent(
                                        dataCentre, name -> new CollectorSelection(name, mSettings))
                                .updateNodes(members));
    }

    /**
     * Reports this node's state to its collector.
     *
     * @param inFlight attempts in flight by endpoint
     * @param underWay requests that wait or run, by qualified name of model or adapter
     * @param held fencing number of each duty that this node holds
     */
    public void report(
            Map<String, Integer> inFlight, Map<String, Double> underWay, Map<Integer, Long> held) {
        long now = mClock.millis();
        NodeReport report = ownReport(inFlight, underWay, held);
        mHolders.merge(report.getHeldList());
        mOwnReports.addLast(report);
        if (mOwnReports.size() > KEPT_REPORTS) {
            mOwnReports.removeFirst();
        }
        NodeName collector = mOwnSelection.current(now).orElse(mSelf);
        if (!mOwnCollector.equals(Optional.of(collector))) {
            mOwnCollector = Optional.of(collector);
            LogEvent.named("collector_chosen")
                    .text("collector", collector)
                    .number("loads_age_ms", ageMilliseconds())
                    .writeTo(LOGGER);
        }
        if (collector.equals(mSelf)) {
            mCollector.onReport(mSelf, report, now);
        } else {
            mOwnSelection.onSent(collector, now);
            mOutbox.send(collector, DigestMessage.newBuilder().setReport(report).build());
        }
    }

    /** As a collector, sends the digests that are due. */
    public void tick() {
        long now = mClock.millis();
        if (now < mNextDigestMilliseconds) {
            return;
        }
        mCollector.removeExpired(now);
        mNextDigestMilliseconds = now + mSettings.reportInterval().toMillis();
        if (!mCollector.hasReports()) {
            return;
        }
        ByteString state = mCollector.fleetState(mHolders.all(), mOutbox.positions(), now);
        sendToOtherCentres(now);
        sendDemand();
        for (NodeName reporter : mCollector.reporters()) {
            FleetDigest digest = mCollector.fleetDigest(reporter, state);
            if (reporter.equals(mSelf)) {
                onFleet(mSelf, digest, now);
            } else {
                mOutbox.send(reporter, DigestMessage.newBuilder().setFleet(digest).build());
            }
        }
        long sendingTime =
                state.size() * MILLISECONDS_PER_SECOND / mSettings.digestBytesPerSecond();
        mNextDigestMilliseconds =
                now + Math.max(mSettings.reportInterval().toMillis(), sendingTime);
    }

    /** Sends residences to all nodes over the collectors; used by the holder of the orders. */
    public void sendResidences(List<AdapterResidence> residences) {
        ResidenceDigest digest =
                ResidenceDigest.newBuilder().addAllResidences(residences).setForward(true).build();
        Set<NodeName> collectors = new LinkedHashSet<>(mActiveCollectors);
        if (ageMilliseconds() < 0 || ageMilliseconds() > mSettings.maximumAge().toMillis()) {
            mOtherSelections.values().stream()
                    .flatMap(selection -> selection.current(mClock.millis()).stream())
                    .forEach(collectors::add);
        }
        mOwnCollector.ifPresent(collectors::add);
        for (NodeName collector : collectors) {
            if (collector.equals(mSelf)) {
                forwardResidences(mSelf, digest);
            } else {
                mOutbox.send(collector, DigestMessage.newBuilder().setResidence(digest).build());
            }
        }
    }

    /** Handles a message of another node. */
    public void onMessage(NodeName sender, DigestMessage message) {
        long now = mClock.millis();
        switch (message.getKindCase()) {
            case REPORT -> {
                mCollector.onReport(sender, message.getReport(), now);
                mHolders.merge(message.getReport().getHeldList());
            }
            case CENTRE -> onCentre(sender, message.getCentre(), now);
            case FLEET -> onFleet(sender, message.getFleet(), now);
            case DEMAND -> onDemand(sender, message.getDemand());
            case RESIDENCE -> {
                message.getResidence().getResidencesList().forEach(mListener::onResidence);
                if (message.getResidence().getForward()) {
                    forwardResidences(sender, message.getResidence());
                }
            }
            default -> LOGGER.debug("ignored a digest message of {} of unknown kind", sender);
        }
    }

    /** Returns the attempts that other nodes have in flight at an endpoint, 0 when not known. */
    public int inFlightOfOthers(String endpoint) {
        boolean known = mHasLoads && ageMilliseconds() <= mSettings.maximumAge().toMillis();
        return known ? mLoads.inFlightAt(endpoint) : 0;
    }

    /** Returns the time since the last digest arrived in milliseconds; -1 when none ever did. */
    public long ageMilliseconds() {
        return mHasLoads ? mClock.millis() - mLoadsReceivedMilliseconds : -1;
    }

    /** Returns the nodes that report to this one, which may be one of them. */
    public Collection<NodeName> reporters() {
        return mCollector.reporters();
    }

    private NodeReport ownReport(
            Map<String, Integer> inFlight, Map<String, Double> underWay, Map<Integer, Long> held) {
        NodeReport.Builder report = NodeReport.newBuilder().setSequence(++mSequence);
        inFlight.forEach(
                (endpoint, count) ->
                        report.addEndpoints(
                                EndpointLoad.newBuilder()
                                        .setEndpoint(endpoint)
                                        .setInFlight(count)));
        underWay.forEach(
                (model, count) ->
                        report.addModels(
                                ModelLoad.newBuilder().setModel(model).setUnderWay(count)));
        held.forEach(
                (partition, fencing) ->
                        report.addHeld(
                                DutyHolder.newBuilder()
                                        .setPartition(partition)
                                        .setFencing(fencing)
                                        .setNode(mSelf.value())));
        return report.build();
    }

    private void sendToOtherCentres(long now) {
        if (mOtherSelections.isEmpty()) {
            return;
        }
        CentreDigest digest = mCollector.centreDigest(mDataCentre, mHolders.all(), now);
        DigestMessage message = DigestMessage.newBuilder().setCentre(digest).build();
        collectorsOfOtherCentres(now).forEach(collector -> mOutbox.send(collector, message));
    }

    /**
     * Returns the collector of each other data centre by rank, and those that sent digests, as the
     * nodes of a data centre may have turned to another one.
     */
    private Collection<NodeName> collectorsOfOtherCentres(long now) {
        Set<NodeName> collectors = new LinkedHashSet<>();
        mOtherSelections.forEach(
                (dataCentre, selection) -> {
                    Optional<NodeName> ranked = selection.current(now);
                    ranked.ifPresent(collector -> selection.onSent(collector, now));
                    ranked.ifPresent(collectors::add);
                    collectors.addAll(mCollector.collectorsOf(dataCentre));
                });
        collectors.remove(mSelf);
        return collectors;
    }

    private void sendDemand() {
        Optional<NodeName> reader = mOutbox.demandReader();
        if (reader.isEmpty()) {
            return;
        }
        for (DemandDigest part : mCollector.demand()) {
            if (reader.get().equals(mSelf)) {
                onDemand(mSelf, part);
            } else {
                mOutbox.send(reader.get(), DigestMessage.newBuilder().setDemand(part).build());
            }
        }
    }

    private void onCentre(NodeName sender, CentreDigest digest, long now) {
        if (!Names.isName(digest.getDataCentre())) {
            return;
        }
        mCollector.onCentre(sender, digest, now);
        mHolders.merge(digest.getHoldersList());
        CollectorSelection selection =
                mOtherSelections.get(DataCentreName.of(digest.getDataCentre()));
        if (selection != null) {
            selection.onAnswer(sender);
        }
    }

    private void onFleet(NodeName sender, FleetDigest digest, long now) {
        mOwnSelection.onAnswer(sender);
        if (!mOwnCollector.equals(Optional.of(sender))) {
            // A former collector, which may have been frozen for seconds.
            return;
        }
        FleetState state;
        try {
            state = FleetState.parseFrom(digest.getState());
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("dropped an undecodable digest of {}", sender);
            return;
        }
        EndpointLoads loads = new EndpointLoads();
        loads.add(state.getLoads(), 0);
        mOwnReports.stream()
                .filter(report -> report.getSequence() == digest.getIncludedReport())
                .findFirst()
                .ifPresent(loads::subtract);
        mLoads = loads;
        mLoadsReceivedMilliseconds = now;
        mHasLoads = true;
        mHolders.merge(state.getHoldersList());
        if (!sender.equals(mSelf)) {
            mListener.onPositions(sender, state.getPositionsList());
        }
        mActiveCollectors =
                state.getCollectorsList().stream().filter(Names::isName).map(NodeName::of).toList();
    }

    private void onDemand(NodeName sender, DemandDigest digest) {
        Map<String, Double> underWay = new LinkedHashMap<>();
        digest.getModelsList().forEach(load -> underWay.put(load.getModel(), load.getUnderWay()));
        mListener.onDemand(partName(sender, digest.getPart()), underWay);
        Integer former = mDemandParts.put(sender, digest.getParts());
        for (int part = digest.getParts(); former != null && part < former; part++) {
            mListener.onDemand(partName(sender, part), Map.of());
        }
    }

    private void forwardResidences(NodeName sender, ResidenceDigest digest) {
        DigestMessage message =
                DigestMessage.newBuilder()
                        .setResidence(digest.toBuilder().setForward(false))
                        .build();
        List<NodeName> receivers = new ArrayList<>(mCollector.reporters());
        receivers.remove(mSelf);
        receivers.remove(sender);
        receivers.forEach(receiver -> mOutbox.send(receiver, message));
    }

    private static String partName(NodeName collector, int part) {
        return collector.value() + '#' + part;
    }
}
