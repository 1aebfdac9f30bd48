package org.foxtailridge.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.engine.Resident;
import org.foxtailridge.placement.engine.ResidentState;
import org.foxtailridge.placement.order.EndpointHistory;
import org.foxtailridge.placement.order.Order;
import org.foxtailridge.placement.order.OrderHistory;

/** The listed engines with their records, reports and liveness. */
final class Fleet {
    private final OrderHistory mHistory;
    private final Map<String, Endpoint> mEndpoints = new TreeMap<>();
    private final Map<String, Model> mModels = new HashMap<>();
    private final Map<String, Adapter> mAdapters = new HashMap<>();
    private final Set<String> mLive = new HashSet<>();

    Fleet(OrderHistory history) {
        mHistory = history;
    }

    /** Applies the lists; returns the endpoints that are not listed any more. */
    Set<String> configuration(Configuration configuration) {
        mModels.clear();
        configuration.all(Model.class).forEach(model -> mModels.put(model.name(), model));
        mAdapters.clear();
        for (Adapter adapter : configuration.all(Adapter.class)) {
            mAdapters.put(adapter.model() + ":" + adapter.name(), adapter);
        }
        Set<String> unlisted = new HashSet<>(mEndpoints.keySet());
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            if (endpoint.kind() == EndpointKind.ENGINE) {
                unlisted.remove(endpoint.name());
                put(endpoint);
            }
        }
        unlisted.forEach(this::remove);
        return unlisted;
    }

    Set<String> endpoints() {
        return mEndpoints.keySet();
    }

    boolean isListed(String endpoint) {
        return mEndpoints.containsKey(endpoint);
    }

    boolean isLive(String endpoint) {
        return mLive.contains(endpoint);
    }

    Endpoint endpoint(String name) {
        return mEndpoints.get(name);
    }

    EndpointHistory history(String endpoint) {
        return mHistory.find(endpoint).orElseThrow();
    }

    Optional<Adapter> adapter(String model, String adapter) {
        return Optional.ofNullable(mAdapters.get(model + ":" + adapter));
    }

    /** Notes whether an endpoint answers; returns whether that has changed. */
    boolean live(String endpoint, boolean live) {
        return live ? mLive.add(endpoint) : mLive.remove(endpoint);
    }

    /** Returns what serves on an endpoint and is not on its way out. */
    List<Artifact> serving(String endpoint) {
        EndpointHistory history = history(endpoint);
        return history.report().map(LoadReport::residents).orElse(List.of()).stream()
                .filter(resident -> resident.state() == ResidentState.RESIDENT)
                .map(Resident::artifact)
                .filter(artifact -> !history.isGoing(artifact))
                .toList();
    }

    /** Returns whether an unload takes no copy, or leaves another copy of a listed model. */
    boolean mayUnload(Order unload) {
        String model = unload.artifact().model();
        boolean takesCopy =
                history(unload.endpoint()).report().map(LoadReport::residents).stream()
                        .flatMap(List::stream)
                        .anyMatch(resident -> resident.artifact().equals(unload.artifact()));
        if (!unload.artifact().isModel() || !mModels.containsKey(model) || !takesCopy) {
            return true;
        }
        return mEndpoints.keySet().stream()
                .filter(this::isLive)
                .anyMatch(endpoint -> servesBeside(endpoint, unload));
    }

    private boolean servesBeside(String endpoint, Order unload) {
        boolean here = endpoint.equals(unload.endpoint());
        return serving(endpoint).stream()
                .filter(artifact -> !here || !artifact.equals(unload.artifact()))
                .filter(Artifact::isModel)
                .anyMatch(artifact -> artifact.model().equals(unload.artifact().model()));
    }

    /** Returns whether a model is listed. */
    boolean isListedModel(String model) {
        return mModels.containsKey(model);
    }

    Residence residence() {
        Residence.Builder residence = Residence.builder();
        for (String endpoint : mEndpoints.keySet()) {
            if (isLive(endpoint)) {
                serving(endpoint).forEach(artifact -> residence.add(endpoint, artifact));
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
    }

    private void remove(String endpoint) {
        mEndpoints.remove(endpoint);
        mLive.remove(endpoint);
        mHistory.forget(endpoint);
    }

    private long workingBytes(Artifact artifact) {
        Model model = artifact.isModel() ? mModels.get(artifact.name()) : null;
        return model == null ? 0 : model.workingBytes();
    }
}
