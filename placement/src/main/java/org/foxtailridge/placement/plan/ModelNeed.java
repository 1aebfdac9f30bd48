package org.foxtailridge.placement.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.placement.engine.Artifact;

/**
 * A listed model with the room that a copy of it needs.
 *
 * @param model the model
 * @param adapterRoomBytes room for its largest adapters
 */
public record ModelNeed(Model model, long adapterRoomBytes) {
    /** Returns the needs of all listed models, with room for some adapters of each. */
    public static List<ModelNeed> of(
            List<Model> models, List<Adapter> adapters, int adaptersWithRoom) {
        Map<String, List<Adapter>> adaptersOf = new HashMap<>();
        for (Adapter adapter : adapters) {
            adaptersOf.computeIfAbsent(adapter.model(), name -> new ArrayList<>()).add(adapter);
        }
        return models.stream()
                .map(
                        model ->
                                new ModelNeed(
                                        model,
                                        roomFor(
                                                adaptersOf.getOrDefault(model.name(), List.of()),
                                                adaptersWithRoom)))
                .toList();
    }

    private static long roomFor(List<Adapter> adapters, int adaptersWithRoom) {
        return adapters.stream()
                .map(Adapter::bytes)
                .sorted(Comparator.reverseOrder())
                .limit(adaptersWithRoom)
                .mapToLong(Long::longValue)
                .sum();
    }

    /** Returns the memory of the weights and the working memory. */
    public long chargeBytes() {
        return model.weightsBytes() + model.workingBytes();
    }

    /** Returns the memory that a copy needs, room for adapters included. */
    public long footprintBytes() {
        return chargeBytes() + adapterRoomBytes;
    }

    /** Returns the listed version's artifact. */
    public Artifact artifact() {
        return Artifact.model(model.name(), model.version());
    }

    /** Returns whether endpoints of the pool may hold the model. */
    public boolean allows(String pool) {
        return model.pools().isEmpty() || model.pools().contains(pool);
    }
}
