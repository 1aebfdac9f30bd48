package org.foxtailridge.placement.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;

/**
 * Finds a home for every listed model.
 *
 * <pre>{@code
 * planner.models(configuration.all(Model.class));
 * planner.update(endpointView);
 * List<OrderRequest> steps = planner.plan();
 * }</pre>
 */
public final class PlacementPlanner {
    private final Map<String, EndpointView> mEndpoints = new TreeMap<>();
    private List<Model> mModels = List.of();

    /** Sets the listed models. */
    public void models(List<Model> models) {
        mModels = List.copyOf(models);
    }

    /** Sets what is known of an endpoint. */
    public void update(EndpointView endpoint) {
        mEndpoints.put(endpoint.name(), endpoint);
    }

    /** Removes an endpoint that is not listed any more. */
    public void remove(String endpoint) {
        mEndpoints.remove(endpoint);
    }

    /** Returns the next steps; the same steps again until the views show their effect. */
    public List<OrderRequest> plan() {
        Map<String, Long> freeBytes = new TreeMap<>();
        mEndpoints.forEach((name, endpoint) -> freeBytes.put(name, endpoint.freeBytes()));
        List<OrderRequest> steps = new ArrayList<>();
        for (Model model : mModels) {
            if (mEndpoints.values().stream().noneMatch(view -> isHome(view, model))) {
                home(model, freeBytes).ifPresent(view -> steps.add(load(model, view, freeBytes)));
            }
        }
        return steps;
    }

    private static boolean isHome(EndpointView view, Model model) {
        return view.takesWork()
                && view.copies().stream()
                        .filter(copy -> !copy.isGoing())
                        .anyMatch(copy -> copy.artifact().name().equals(model.name()));
    }

    private Optional<EndpointView> home(Model model, Map<String, Long> freeBytes) {
        long bytes = model.weightsBytes() + model.workingBytes();
        return mEndpoints.values().stream()
                .filter(EndpointView::takesWork)
                .filter(view -> model.pools().isEmpty() || model.pools().contains(view.pool()))
                .filter(view -> freeBytes.get(view.name()) >= bytes)
                .max(Comparator.comparing(view -> freeBytes.get(view.name())));
    }

    private static OrderRequest load(Model model, EndpointView view, Map<String, Long> freeBytes) {
        freeBytes.merge(view.name(), -model.weightsBytes() - model.workingBytes(), Long::sum);
        return new OrderRequest(
                view.name(),
                OrderAction.LOAD_MODEL,
                Artifact.model(model.name(), model.version()),
                model.weightsBytes(),
                model.workingBytes(),
                List.of());
    }
}
