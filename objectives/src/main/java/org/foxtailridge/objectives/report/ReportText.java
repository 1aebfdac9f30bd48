package org.foxtailridge.objectives.report;

import java.time.Instant;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes a report as plain text. */
public final class ReportText {
    private ReportText() {}

    /** Returns the text of a report. */
    public static String render(BurnReport report) {
        StringBuilder text = new StringBuilder();
        text.append("Service-level burn as of ")
                .append(Instant.ofEpochMilli(report.asOfMs()))
                .append('\n');
        text.append(coverage(report)).append('\n');
        report.rows().forEach(row -> text.append(line(row)).append('\n'));
        return text.toString();
    }

    /** Returns which nodes the report covers, and what is missing. */
    static String coverage(BurnReport report) {
        StringBuilder text = new StringBuilder();
        text.append(report.reachedNodes().size()).append(" nodes reached");
        if (!report.unreachedNodes().isEmpty()) {
            text.append("; NOT REACHED, their events are missing: ")
                    .append(String.join(", ", report.unreachedNodes()));
        }
        if (report.uncountedEvents() > 0) {
            text.append("; events not counted: ").append(report.uncountedEvents());
        }
        return text.toString();
    }

    private static String line(BurnRow row) {
        String rates =
                row.burnRates().stream()
                        .map(
                                rate ->
                                        String.format(
                                                Locale.ROOT, "%s %.1f", rate.window(), rate.rate()))
                        .collect(Collectors.joining("  "));
        return String.format(
                Locale.ROOT,
                "%-6s %-20s %-20s %-16s good %.3f%% of %d (target %.2f%%)  "
                        + "budget left %.0f%%  burn %s",
                row.alert().name().toLowerCase(Locale.ROOT),
                row.clientAccount(),
                row.route(),
                row.objective(),
                row.attainment() * 100,
                row.good() + row.bad(),
                row.target() * 100,
                row.budgetLeft() * 100,
                rates);
    }
}
