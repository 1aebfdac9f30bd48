package org.foxtailridge.node.duty;

import java.util.List;
import java.util.Locale;
import org.foxtailridge.clients.engine.LoadReport;
import org.foxtailridge.clients.engine.Resident;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.ResidentState;

/** Turns load reports of the engines' protocol into those of placement. */
final class PlacementReports {
    private PlacementReports() {}

    static org.foxtailridge.placement.engine.LoadReport from(String endpoint, LoadReport report) {
        List<org.foxtailridge.placement.engine.Resident> residents =
                report.residents().stream().map(PlacementReports::resident).toList();
        return new org.foxtailridge.placement.engine.LoadReport(
                endpoint,
                report.incarnation(),
                report.asOfMs(),
                report.memoryBytes(),
                report.usedBytes(),
                report.highestFencing(),
                report.leaving(),
                residents);
    }

    private static org.foxtailridge.placement.engine.Resident resident(Resident resident) {
        Artifact artifact =
                resident.isAdapter()
                        ? Artifact.adapter(resident.name(), resident.model(), resident.version())
                        : Artifact.model(resident.name(), resident.version());
        return new org.foxtailridge.placement.engine.Resident(
                artifact,
                resident.bytes(),
                ResidentState.valueOf(resident.state().toUpperCase(Locale.ROOT)));
    }
}
