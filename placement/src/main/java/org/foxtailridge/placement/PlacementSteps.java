package org.foxtailridge.placement;

import com.google.common.collect.ImmutableBiMap;
import java.util.Optional;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.ArtifactKind;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;
import org.foxtailridge.protocol.placement.PlacementStep;

/** Turns requests for orders into messages between nodes and back. */
final class PlacementSteps {
    private static final ImmutableBiMap<OrderAction, String> WORDS =
            ImmutableBiMap.of(
                    OrderAction.LOAD_MODEL, "load_model",
                    OrderAction.UNLOAD_MODEL, "unload_model",
                    OrderAction.LOAD_ADAPTER, "load_adapter",
                    OrderAction.UNLOAD_ADAPTER, "unload_adapter");

    private PlacementSteps() {}

    static PlacementStep toMessage(OrderRequest request) {
        return PlacementStep.newBuilder()
                .setEndpoint(request.endpoint())
                .setAction(WORDS.get(request.action()))
                .setName(request.artifact().name())
                .setModel(request.artifact().model())
                .setVersion(request.artifact().version())
                .setBytes(request.bytes())
                .setWorkingBytes(request.workingBytes())
                .addAllWitnesses(request.witnesses())
                .build();
    }

    /** Returns the request of a message; empty when a newer node sent an unknown action. */
    static Optional<OrderRequest> fromMessage(PlacementStep step) {
        OrderAction action = WORDS.inverse().get(step.getAction());
        if (action == null) {
            return Optional.empty();
        }
        boolean adapter =
                action == OrderAction.LOAD_ADAPTER || action == OrderAction.UNLOAD_ADAPTER;
        Artifact artifact =
                new Artifact(
                        adapter ? ArtifactKind.ADAPTER : ArtifactKind.MODEL,
                        step.getName(),
                        step.getModel(),
                        step.getVersion());
        return Optional.of(
                new OrderRequest(
                        step.getEndpoint(),
                        action,
                        artifact,
                        step.getBytes(),
                        step.getWorkingBytes(),
                        step.getWitnessesList()));
    }
}
