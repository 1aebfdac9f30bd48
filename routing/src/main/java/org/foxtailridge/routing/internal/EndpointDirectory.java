package org.foxtailridge.routing.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.EngineRole;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.Resident;
import org.foxtailridge.routing.ResidentState;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.internal.CandidateKey.AdapterKey;
import org.foxtailridge.routing.internal.CandidateKey.AnyVersionKey;
import org.foxtailridge.routing.internal.CandidateKey.LoadingKey;
import org.foxtailridge.routing.internal.CandidateKey.ModelKey;
import org.foxtailridge.routing.internal.CandidateKey.PoolKey;

/**
 * The configured endpoints with their latest reports, indexed by the models, adapters and pools
 * that they serve.
 *
 * <p>Endpoints that are down or leaving, and engines that only decode, are in no index. Confined to
 * the router's thread.
 */
public final class EndpointDirectory {
    private final Map<EndpointName, EndpointEntry> mEntries = new HashMap<>();
    private final Map<CandidateKey, List<EndpointEntry>> mIndex = new HashMap<>();
    private final Map<String, String> mPoolOfService = new HashMap<>();

    /** Returns an endpoint, null when it isn't configured. */
    public EndpointEntry find(EndpointName name) {
        return mEntries.get(name);
    }

    /**
     * Returns the endpoints that can serve a target now. For a model these are the endpoints with
     * the requested version, or with any version when none has it. The list must not be changed.
     */
    public List<EndpointEntry> candidates(RouteTarget target) {
        if (target instanceof RouteTarget.ModelTarget model) {
            List<EndpointEntry> preferred = lookUp(new ModelKey(model.name(), model.version()));
            return preferred.isEmpty() ? lookUp(new AnyVersionKey(model.name())) : preferred;
        }
        String pool = mPoolOfService.get(target.name());
        return pool == null ? List.of() : lookUp(new PoolKey(pool));
    }

    /** Returns the endpoints on which the adapter of the model is resident. */
    public List<EndpointEntry> endpointsWithAdapter(String model, String adapter) {
        return lookUp(new AdapterKey(model, adapter));
    }

    /** Returns whether the adapter of a target is resident; true for a target without adapter. */
    public boolean holdsAdapter(EndpointEntry entry, RouteTarget target) {
        if (!(target instanceof RouteTarget.ModelTarget model) || model.adapter().isEmpty()) {
            return true;
        }
        return entry.keys().contains(new AdapterKey(model.name(), model.adapter().get()));
    }

    /** Returns the names of the models and services that an endpoint can serve now. */
    public Set<String> targetsOn(EndpointEntry entry) {
        Set<String> targets = new HashSet<>();
        for (CandidateKey key : entry.keys()) {
            if (key instanceof AnyVersionKey model) {
                targets.add(model.model());
            }
            if (key instanceof PoolKey pool) {
                mPoolOfService.forEach(
                        (service, named) -> {
                            if (named.equals(pool.pool())) {
                                targets.add(service);
                            }
                        });
            }
        }
        return targets;
    }

    /** Returns whether any endpoint is loading the target. */
    public boolean isLoading(RouteTarget target) {
        return !lookUp(new LoadingKey(target.name())).isEmpty();
    }

    /**
     * Returns the version of a model to request of an endpoint: the target's version if it is
     * resident, else the greatest resident one. Empty for plain services.
     */
    public String versionOn(EndpointEntry entry, RouteTarget target) {
        if (!(target instanceof RouteTarget.ModelTarget model)) {
            return "";
        }
        if (entry.keys().contains(new ModelKey(model.name(), model.version()))) {
            return model.version();
        }
        return entry.report().residents().stream()
                .filter(resident -> isModel(resident, model.name()))
                .map(Resident::version)
                .max(String::compareTo)
                .orElse(model.version());
    }

    /** Returns whether an endpoint can serve a target now, in any version. */
    public boolean canServe(EndpointEntry entry, RouteTarget target) {
        if (target instanceof RouteTarget.ModelTarget model) {
            return entry.keys().contains(new AnyVersionKey(model.name()));
        }
        String pool = mPoolOfService.get(target.name());
        return pool != null && entry.keys().contains(new PoolKey(pool));
    }

    /** Calls the action with each configured endpoint. */
    public void forEach(Consumer<EndpointEntry> action) {
        mEntries.values().forEach(action);
    }

    /** Returns the number of configured endpoints. */
    public int size() {
        return mEntries.size();
    }

    /** Replaces the endpoints and services. Returns the endpoints that were removed. */
    public Set<EndpointName> configure(Configuration configuration) {
        Set<EndpointName> removed = new HashSet<>(mEntries.keySet());
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            EndpointName name = EndpointName.of(endpoint.name());
            removed.remove(name);
            EndpointEntry entry =
                    mEntries.computeIfAbsent(name, unused -> new EndpointEntry(endpoint));
            entry.setConfiguration(endpoint);
            reindex(entry);
        }
        for (EndpointName name : removed) {
            unindex(mEntries.remove(name));
        }
        mPoolOfService.clear();
        for (Service service : configuration.all(Service.class)) {
            mPoolOfService.put(service.name(), service.pool());
        }
        return removed;
    }

    /** Applies a load report; returns false when it is older than the latest one. */
    public boolean applyReport(EndpointEntry entry, LoadReport report) {
        if (!entry.acceptReport(report)) {
            return false;
        }
        reindex(entry);
        return true;
    }

    /** Applies a state; returns whether the endpoint changed from another state to up. */
    public boolean applyState(EndpointEntry entry, EndpointState state) {
        boolean returned = state == EndpointState.UP && entry.state() != EndpointState.UP;
        entry.setState(state);
        reindex(entry);
        return returned;
    }

    private List<EndpointEntry> lookUp(CandidateKey key) {
        return mIndex.getOrDefault(key, List.of());
    }

    private void reindex(EndpointEntry entry) {
        Set<CandidateKey> keys = keysOf(entry);
        if (keys.equals(entry.keys())) {
            return;
        }
        unindex(entry);
        entry.setKeys(keys);
        for (CandidateKey key : keys) {
            mIndex.computeIfAbsent(key, unused -> new ArrayList<>()).add(entry);
        }
    }

    private void unindex(EndpointEntry entry) {
        for (CandidateKey key : entry.keys()) {
            List<EndpointEntry> entries = mIndex.get(key);
            entries.remove(entry);
            if (entries.isEmpty()) {
                mIndex.remove(key);
            }
        }
        entry.setKeys(Set.of());
    }

    private static Set<CandidateKey> keysOf(EndpointEntry entry) {
        if (!entry.acceptsWork()) {
            return Set.of();
        }
        if (entry.configuration().kind() == EndpointKind.SERVICE) {
            return Set.of(new PoolKey(entry.configuration().pool()));
        }
        LoadReport report = entry.report();
        if (report == null || report.role() == EngineRole.DECODE) {
            return Set.of();
        }
        Set<CandidateKey> keys = new HashSet<>();
        for (Resident resident : report.residents()) {
            addKeys(keys, resident);
        }
        return keys;
    }

    private static void addKeys(Set<CandidateKey> keys, Resident resident) {
        if (resident.adapter().isPresent()) {
            if (resident.state() == ResidentState.RESIDENT) {
                keys.add(new AdapterKey(resident.model(), resident.adapter().get()));
            }
            return;
        }
        if (resident.state() == ResidentState.LOADING) {
            keys.add(new LoadingKey(resident.model()));
        }
        if (resident.state() == ResidentState.RESIDENT) {
            keys.add(new ModelKey(resident.model(), resident.version()));
            keys.add(new AnyVersionKey(resident.model()));
        }
    }

    private static boolean isModel(Resident resident, String model) {
        return resident.adapter().isEmpty()
                && resident.model().equals(model)
                && resident.state() == ResidentState.RESIDENT;
    }
}
