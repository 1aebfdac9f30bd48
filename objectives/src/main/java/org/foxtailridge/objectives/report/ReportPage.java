package org.foxtailridge.objectives.report;

import com.google.common.html.HtmlEscapers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Writes a report as one HTML page that needs no other file. */
public final class ReportPage {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 420;
    private static final int PLOTTED_ROWS = 12;
    private static final String STYLE =
            "body{font-family:sans-serif;margin:2em;color:#222}table{border-collapse:collapse}"
                    + "td,th{padding:.3em .7em;border-bottom:1px solid #ccc;text-align:right}"
                    + "td:nth-child(-n+4),th:nth-child(-n+4){text-align:left}"
                    + ".page{background:#fbd5d5}.ticket{background:#fdf0cc}"
                    + ".missing{color:#a00;font-weight:bold}";

    private ReportPage() {}

    /** Returns the page of a report. */
    public static String render(BurnReport report) {
        System.setProperty("java.awt.headless", "true");
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Service-level burn</title><style>")
                .append(STYLE)
                .append("</style></head><body>\n<h1>Service-level burn</h1>\n<p>As of ")
                .append(Instant.ofEpochMilli(report.asOfMs()))
                .append("</p>\n<p class=\"")
                .append(report.complete() ? "covered" : "missing")
                .append("\">")
                .append(escape(ReportText.coverage(report)))
                .append("</p>\n");
        if (report.rows().isEmpty()) {
            page.append("<p>No events were counted.</p>\n");
        } else {
            page.append(plots(report.rows())).append(table(report.rows()));
        }
        return page.append("</body></html>\n").toString();
    }

    private static String plots(List<BurnRow> rows) {
        List<BurnRow> plotted = rows.subList(0, Math.min(PLOTTED_ROWS, rows.size()));
        CategoryChart budget = chart("Budget left, in percent", plotted);
        budget.addSeries(
                "budget left",
                names(plotted),
                plotted.stream().map(row -> Math.max(-100, row.budgetLeft() * 100)).toList());
        CategoryChart burn = chart("Burn rate over one hour", plotted);
        burn.addSeries("1h", names(plotted), plotted.stream().map(ReportPage::hourRate).toList());
        return image(budget, "Budget left") + image(burn, "Burn rate over one hour");
    }

    private static CategoryChart chart(String title, List<BurnRow> rows) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(title)
                        .xAxisTitle("worst-served client account first")
                        .build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisLabelRotation(rows.size() > 2 ? 30 : 0);
        return chart;
    }

    private static List<String> names(List<BurnRow> rows) {
        return rows.stream()
                .map(row -> row.clientAccount() + " " + row.route() + " " + row.objective())
                .toList();
    }

    private static double hourRate(BurnRow row) {
        return row.burnRates().stream()
                .filter(rate -> rate.window().equals(BurnWindow.HOUR.label()))
                .mapToDouble(BurnRow.BurnRate::rate)
                .findFirst()
                .orElse(0);
    }

    private static String image(CategoryChart chart, String text) {
        try {
            byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
            return "<p><img alt=\""
                    + text
                    + "\" src=\"data:image/png;base64,"
                    + Base64.getEncoder().encodeToString(png)
                    + "\"></p>\n";
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static String table(List<BurnRow> rows) {
        StringBuilder table = new StringBuilder("<table><tr>");
        for (String heading :
                List.of(
                        "Alert",
                        "Client account",
                        "Route",
                        "Objective",
                        "Good",
                        "Events",
                        "Target",
                        "Budget left",
                        "Burn rates")) {
            table.append("<th>").append(heading).append("</th>");
        }
        table.append("</tr>\n");
        rows.forEach(row -> table.append(tableRow(row)));
        return table.append("</table>\n").toString();
    }

    private static String tableRow(BurnRow row) {
        String alert = row.alert().name().toLowerCase(Locale.ROOT);
        String rates =
                row.burnRates().stream()
                        .map(
                                rate ->
                                        String.format(
                                                Locale.ROOT, "%s %.1f", rate.window(), rate.rate()))
                        .collect(Collectors.joining(", "));
        List<String> cells =
                List.of(
                        alert,
                        row.clientAccount(),
                        row.route(),
                        row.objective(),
                        percent(row.attainment()),
                        Long.toString(row.good() + row.bad()),
                        percent(row.target()),
                        percent(row.budgetLeft()),
                        rates);
        return "<tr class=\""
                + alert
                + "\">"
                + cells.stream()
                        .map(cell -> "<td>" + escape(cell) + "</td>")
                        .collect(Collectors.joining())
                + "</tr>\n";
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.2f%%", share * 100);
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
