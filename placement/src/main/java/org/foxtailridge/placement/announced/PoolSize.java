package org.foxtailridge.placement.announced;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What the engines of one service have in common, as placement sees it.
 *
 * @param service name of the service
 * @param slots requests that one engine runs at once
 * @param megabytes memory of one engine for weights and adapters
 * @param adapterPlaces adapters that one engine holds
 * @param storeLoadsPerSecond loads that the weight store allows over all engines
 * @param models listed models
 */
public record PoolSize(
        String service,
        int slots,
        double megabytes,
        int adapterPlaces,
        double storeLoadsPerSecond,
        List<ModelSize> models) {
    /** Copies the list. */
    public PoolSize {
        Objects.requireNonNull(service, "service");
        models = List.copyOf(models);
    }

    /** Returns a listed model. */
    public Optional<ModelSize> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }
}
