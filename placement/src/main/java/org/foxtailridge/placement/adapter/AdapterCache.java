package org.foxtailridge.placement.adapter;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.memory.MemoryLedger;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;

/**
 * Decides about the adapters of one endpoint.
 *
 * <pre>{@code
 * Optional<OrderRequest> step = cache.wanted(adapter, serving, ledger, clock.millis());
 * }</pre>
 */
public final class AdapterCache {
    private final String mEndpoint;
    private final Map<Artifact, Long> mWantedAt = new HashMap<>();

    /** Creates the cache of an endpoint, to which nothing is known of earlier use. */
    public AdapterCache(String endpoint) {
        mEndpoint = endpoint;
    }

    /**
     * Notes that a request wants an adapter and returns the step towards it: its load if there is
     * room, else the removal of the adapter that was wanted least recently. An older version of it
     * is removed first, as an engine may hold one version only.
     *
     * @param adapter listed adapter
     * @param serving what is resident on the endpoint and not on its way out
     * @param ledger memory of the endpoint
     * @param milliseconds now
     * @return the step; empty when the adapter is resident, its model is not, or no adapter can go
     */
    public Optional<OrderRequest> wanted(
            Adapter adapter, List<Artifact> serving, MemoryLedger ledger, long milliseconds) {
        Artifact artifact = Artifact.adapter(adapter.name(), adapter.model(), adapter.version());
        mWantedAt.keySet().retainAll(serving);
        mWantedAt.put(artifact, milliseconds);
        boolean hasModel =
                serving.stream()
                        .anyMatch(held -> held.isModel() && held.name().equals(adapter.model()));
        if (!hasModel || serving.contains(artifact)) {
            return Optional.empty();
        }
        Optional<Artifact> older =
                serving.stream().filter(held -> isOtherVersion(held, artifact)).findFirst();
        if (older.isPresent()) {
            return older.map(held -> step(OrderAction.UNLOAD_ADAPTER, held, 0));
        }
        if (ledger.fits(artifact, adapter.bytes())) {
            return Optional.of(step(OrderAction.LOAD_ADAPTER, artifact, adapter.bytes()));
        }
        return serving.stream()
                .filter(held -> !held.isModel())
                .min(Comparator.comparingLong(held -> mWantedAt.getOrDefault(held, 0L)))
                .map(held -> step(OrderAction.UNLOAD_ADAPTER, held, 0));
    }

    private static boolean isOtherVersion(Artifact held, Artifact artifact) {
        return !held.isModel()
                && held.name().equals(artifact.name())
                && held.model().equals(artifact.model());
    }

    private OrderRequest step(OrderAction action, Artifact artifact, long bytes) {
        return new OrderRequest(mEndpoint, action, artifact, bytes, 0, List.of());
    }
}
