package org.foxtailridge.membership.digest;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.digest.CentreDigest;
import org.foxtailridge.protocol.digest.DemandDigest;
import org.foxtailridge.protocol.digest.DutyHolder;
import org.foxtailridge.protocol.digest.FleetDigest;
import org.foxtailridge.protocol.digest.FleetState;
import org.foxtailridge.protocol.digest.ModelLoad;
import org.foxtailridge.protocol.digest.NodeReport;
import org.foxtailridge.protocol.relay.StreamPosition;

/**
 * Folds the reports of the nodes that chose this node as their collector, and the digests of the
 * collectors of other data centres. Not thread-safe.
 */
final class Collector {
    // Bounds the memory that invalid messages can occupy.
    private static final int MAXIMUM_SENDERS = 4_096;
    // Keeps one part within a datagram of 1,200 bytes.
    private static final int MODELS_PER_PART = 24;

    private final DigestSettings mSettings;
    private final NodeName mSelf;
    private final Map<NodeName, Received<NodeReport>> mReports = new LinkedHashMap<>();
    private final Map<NodeName, Received<CentreDigest>> mCentres = new HashMap<>();

    Collector(DigestSettings settings, NodeName self) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mSelf = Objects.requireNonNull(self, "self");
    }

    void onReport(NodeName sender, NodeReport report, long now) {
        put(mReports, sender, report, now);
    }

    void onCentre(NodeName sender, CentreDigest digest, long now) {
        put(mCentres, sender, digest, now);
    }

    /** Drops reports and digests that no longer count. */
    void removeExpired(long now) {
        long receivedBefore = now - mSettings.maximumAge().toMillis();
        mReports.values().removeIf(report -> report.atMilliseconds() < receivedBefore);
        mCentres.values().removeIf(digest -> digest.atMilliseconds() < receivedBefore);
    }

    boolean hasReports() {
        return !mReports.isEmpty();
    }

    Collection<NodeName> reporters() {
        return List.copyOf(mReports.keySet());
    }

    /** Returns the collectors of another data centre that have sent digests recently. */
    List<NodeName> collectorsOf(DataCentreName dataCentre) {
        List<NodeName> collectors = new ArrayList<>();
        mCentres.forEach(
                (sender, digest) -> {
                    if (digest.message().getDataCentre().equals(dataCentre.value())) {
                        collectors.add(sender);
                    }
                });
        return collectors;
    }

    CentreDigest centreDigest(DataCentreName dataCentre, Collection<DutyHolder> holders, long now) {
        return CentreDigest.newBuilder()
                .setDataCentre(dataCentre.value())
                .setLoads(ownLoads(now).toMessage())
                .addAllHolders(holders)
                .build();
    }

    /** Returns the state of the fleet: own reports and the digests of the other data centres. */
    ByteString fleetState(
            Collection<DutyHolder> holders, Collection<StreamPosition> positions, long now) {
        EndpointLoads loads = ownLoads(now);
        TreeSet<String> collectors = new TreeSet<>();
        collectors.add(mSelf.value());
        mCentres.forEach(
                (sender, digest) -> {
                    loads.add(digest.message().getLoads(), now - digest.atMilliseconds());
                    collectors.add(sender.value());
                });
        return FleetState.newBuilder()
                .setLoads(loads.toMessage())
                .addAllHolders(holders)
                .addAllCollectors(collectors)
                .addAllPositions(positions)
                .build()
                .toByteString();
    }

    FleetDigest fleetDigest(NodeName receiver, ByteString state) {
        return FleetDigest.newBuilder()
                .setIncludedReport(mReports.get(receiver).message().getSequence())
                .setState(state)
                .build();
    }

    /** Returns the demand of the reporting nodes, in parts that each fit one datagram. */
    List<DemandDigest> demand() {
        List<ModelLoad> models = new ArrayList<>();
        underWay()
                .forEach(
                        (model, count) ->
                                models.add(
                                        ModelLoad.newBuilder()
                                                .setModel(model)
                                                .setUnderWay(count)
                                                .build()));
        int parts = Math.max(1, (models.size() + MODELS_PER_PART - 1) / MODELS_PER_PART);
        List<DemandDigest> digests = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int from = part * MODELS_PER_PART;
            int to = Math.min(models.size(), from + MODELS_PER_PART);
            digests.add(
                    DemandDigest.newBuilder()
                            .setPart(part)
                            .setParts(parts)
                            .addAllModels(models.subList(from, to))
                            .build());
        }
        return digests;
    }

    private Map<String, Double> underWay() {
        Map<String, Double> sums = new TreeMap<>();
        for (Received<NodeReport> report : mReports.values()) {
            report.message()
                    .getModelsList()
                    .forEach(
                            model ->
                                    sums.merge(model.getModel(), model.getUnderWay(), Double::sum));
        }
        return sums;
    }

    private EndpointLoads ownLoads(long now) {
        EndpointLoads loads = new EndpointLoads();
        mReports.values()
                .forEach(report -> loads.add(report.message(), now - report.atMilliseconds()));
        return loads;
    }

    private static <T> void put(
            Map<NodeName, Received<T>> received, NodeName sender, T message, long now) {
        if (received.size() < MAXIMUM_SENDERS || received.containsKey(sender)) {
            received.put(sender, new Received<>(message, now));
        }
    }

    private record Received<T>(T message, long atMilliseconds) {}
}
