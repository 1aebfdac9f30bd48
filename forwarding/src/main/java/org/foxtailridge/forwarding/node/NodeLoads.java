package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.front.ForwardedDemand;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.placement.DemandReport;
import org.foxtailridge.protocol.placement.EndpointLoad;
import org.foxtailridge.protocol.placement.ModelDemand;
import org.foxtailridge.protocol.placement.PlacementMessage;

/**
 * Loads of endpoints and demand for models, told to the other nodes and learnt from them: directly
 * in a small fleet, over collectors in a large one. Confined to the event loop.
 */
final class NodeLoads {
    private static final long REPORT_INTERVAL_MILLISECONDS = 300;
    private static final long MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500;

    private final ForwardingSettings mSettings;
    private final Clock mClock;
    private final NodeMembership mMembers;
    private final BiConsumer<String, Map<String, Double>> mDemandListener;
    private final PeerLoads mPeerLoads = new PeerLoads(MAXIMUM_REPORT_AGE_MILLISECONDS);
    private NodeDigests mDigests;
    private ForwardedDemand mDemand;
    private long mLastReportMilliseconds;

    NodeLoads(
            ForwardingSettings settings,
            Clock clock,
            NodeMembership members,
            BiConsumer<String, Map<String, Double>> demandListener) {
        mSettings = settings;
        mClock = clock;
        mMembers = members;
        mDemandListener = demandListener;
    }

    /** Sets the components that are created after this one; called once, before any event. */
    void attach(NodeDigests digests, ForwardedDemand demand) {
        mDigests = digests;
        mDemand = demand;
    }

    /** Reports what this node has in flight and its demand, when a report is due. */
    void tick(NodeEndpoints endpoints) {
        long now = mClock.millis();
        mDigests.tick();
        if (now - mLastReportMilliseconds < REPORT_INTERVAL_MILLISECONDS) {
            return;
        }
        mLastReportMilliseconds = now;
        Map<String, ForwardedDemand.Demand> demand = mDemand.collect();
        Map<String, Integer> inFlight = endpoints.inFlight();
        if (NodeDigests.isDirect(mMembers)) {
            broadcast(demand, inFlight);
        } else {
            Map<String, Double> underWay = new HashMap<>();
            demand.forEach((name, of) -> underWay.put(name, of.underWay()));
            mDigests.report(inFlight, underWay);
        }
        endpoints.reportLoads();
    }

    /** Returns the attempts that all other nodes have in flight at an endpoint. */
    int inFlightOfOthers(String endpoint) {
        return mPeerLoads.inFlightAt(endpoint, mClock.millis())
                + mDigests.inFlightOfOthers(endpoint);
    }

    /** Applies the report of a node that broadcasts. */
    void onReport(NodeName sender, DemandReport report) {
        Map<String, Double> underWay = new HashMap<>();
        for (ModelDemand demand : report.getModelsList()) {
            underWay.put(demand.getModel(), (double) demand.getRunning());
        }
        mDemandListener.accept(sender.value(), underWay);
        Map<String, Integer> inFlight = new HashMap<>();
        for (EndpointLoad load : report.getEndpointsList()) {
            inFlight.put(load.getEndpoint(), load.getInFlight());
        }
        mPeerLoads.put(sender, inFlight, mClock.millis());
    }

    private void broadcast(
            Map<String, ForwardedDemand.Demand> demand, Map<String, Integer> inFlight) {
        DemandReport.Builder report =
                DemandReport.newBuilder()
                        .setNode(mSettings.name().value())
                        .setDataCentre(mSettings.dataCentre().value());
        Map<String, Double> underWay = new LinkedHashMap<>();
        demand.forEach(
                (name, of) -> {
                    // Requests that started and ended between two reports count as one in flight.
                    double count = Math.max(of.underWay(), of.requestsPerSecond() > 0 ? 1 : 0);
                    underWay.put(name, count);
                    report.addModels(
                            ModelDemand.newBuilder()
                                    .setModel(name)
                                    .setRequestsPerSecond(of.requestsPerSecond())
                                    .setTokensPerSecond(of.tokensPerSecond())
                                    .setRunning((int) Math.ceil(count)));
                });
        inFlight.forEach(
                (endpoint, count) ->
                        report.addEndpoints(
                                EndpointLoad.newBuilder()
                                        .setEndpoint(endpoint)
                                        .setInFlight(count)));
        mDemandListener.accept(mSettings.name().value(), underWay);
        mMembers.sendToPeers(
                Subject.PLACEMENT, PlacementMessage.newBuilder().setDemand(report).build());
    }
}
