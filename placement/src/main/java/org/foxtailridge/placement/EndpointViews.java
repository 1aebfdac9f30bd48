package org.foxtailridge.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.engine.Resident;
import org.foxtailridge.placement.engine.ResidentState;
import org.foxtailridge.placement.order.EndpointHistory;
import org.foxtailridge.placement.order.Order;
import org.foxtailridge.placement.plan.Copy;
import org.foxtailridge.placement.plan.CopyState;
import org.foxtailridge.placement.plan.EndpointView;

/** Makes the planner's view of an endpoint from its settings, records and load report. */
final class EndpointViews {
    private EndpointViews() {}

    static EndpointView of(Endpoint endpoint, EndpointHistory history, boolean live) {
        boolean leaves =
                endpoint.leaving() || history.report().map(LoadReport::leaving).orElse(false);
        return new EndpointView(
                endpoint.name(),
                endpoint.pool(),
                endpoint.dataCentre(),
                Math.max(1, endpoint.accelerators()),
                endpoint.memoryBytes(),
                history.ledger().freeBytes(),
                live && history.report().isPresent(),
                leaves,
                copies(history, true),
                copies(history, false));
    }

    private static List<Copy> copies(EndpointHistory history, boolean models) {
        Map<Artifact, CopyState> states = new LinkedHashMap<>();
        for (Order order : history.unresolved()) {
            if (order.isLoad()) {
                states.put(order.artifact(), CopyState.COMING);
            }
        }
        for (Resident resident : history.report().map(LoadReport::residents).orElse(List.of())) {
            states.put(resident.artifact(), stateOf(resident, history));
        }
        List<Copy> copies = new ArrayList<>();
        states.forEach(
                (artifact, state) -> {
                    if (artifact.isModel() == models) {
                        copies.add(new Copy(artifact, history.ledger().chargeOf(artifact), state));
                    }
                });
        return copies;
    }

    private static CopyState stateOf(Resident resident, EndpointHistory history) {
        if (resident.state() == ResidentState.UNLOADING || history.isGoing(resident.artifact())) {
            return CopyState.GOING;
        }
        return resident.state() == ResidentState.LOADING ? CopyState.COMING : CopyState.SERVING;
    }
}
