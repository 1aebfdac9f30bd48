package org.foxtailridge.node.duty;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.foxtailridge.clients.engine.LoadReport;
import org.foxtailridge.clients.engine.Resident;
import org.foxtailridge.routing.EngineRole;
import org.foxtailridge.routing.ResidentState;

/** Turns load reports of the engines' protocol into those of routing. */
final class RoutingReports {
    private RoutingReports() {}

    static org.foxtailridge.routing.LoadReport from(LoadReport report) {
        List<org.foxtailridge.routing.Resident> residents =
                report.residents().stream().map(RoutingReports::resident).toList();
        return new org.foxtailridge.routing.LoadReport(
                report.incarnation(),
                report.asOfMs(),
                report.running(),
                report.waiting(),
                report.memoryBytes(),
                report.usedBytes(),
                EngineRole.valueOf(report.role().toUpperCase(Locale.ROOT)),
                report.leaving(),
                residents);
    }

    private static org.foxtailridge.routing.Resident resident(Resident resident) {
        ResidentState state = ResidentState.valueOf(resident.state().toUpperCase(Locale.ROOT));
        if (resident.isAdapter()) {
            return new org.foxtailridge.routing.Resident(
                    resident.model(), Optional.of(resident.name()), resident.version(), state);
        }
        return new org.foxtailridge.routing.Resident(
                resident.name(), Optional.empty(), resident.version(), state);
    }
}
