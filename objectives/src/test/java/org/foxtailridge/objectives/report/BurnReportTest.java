package org.foxtailridge.objectives.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.configuration.model.Measure;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.objectives.count.RequestOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks burn rates, order, alerts and the forms of the report. */
class BurnReportTest {
    private static final long MONTH_SECONDS = 2_592_000;
    private final ManualClock mClock = ManualClock.at(Instant.parse("2030-01-10T00:00:00Z"));
    private final ObjectiveCounters mCounters = counters("node-1", 100);

    @Test
    void should_put_the_worst_served_client_account_first_and_name_unreached_nodes() {
        // GIVEN
        record(mCounters, "small", 90, 10);
        record(mCounters, "large", 999, 1);
        // WHEN
        BurnReport report = report();
        // THEN
        assertThat(report.rows())
                .extracting(BurnRow::clientAccount)
                .containsExactly("small", "large");
        assertThat(report.rows().get(0).budgetLeft()).isCloseTo(-9, within(1e-9));
        assertThat(report.rows().get(0).alert()).isEqualTo(BurnAlert.PAGE);
        assertThat(report.rows().get(1).alert()).isEqualTo(BurnAlert.NONE);
        assertThat(report.complete()).isFalse();
        assertThat(ReportText.render(report))
                .contains("NOT REACHED, their events are missing: node-2")
                .contains("small");
    }

    @Test
    void should_page_while_both_windows_burn_and_stop_when_the_short_one_is_good() {
        // GIVEN
        record(mCounters, "small", 80, 20);
        assertThat(report().rows().get(0).alert()).isEqualTo(BurnAlert.PAGE);
        // WHEN
        mClock.advance(Duration.ofMinutes(31));
        record(mCounters, "small", 10, 0);
        // THEN
        BurnRow row = report().rows().get(0);
        assertThat(rate(row, "5m")).isZero();
        assertThat(rate(row, "1h")).isCloseTo(20 / 1.1, within(1e-9));
        assertThat(row.alert()).isEqualTo(BurnAlert.TICKET);
    }

    @Test
    void should_give_one_page_with_plots_and_no_outside_files_and_escape_names() {
        // GIVEN
        record(mCounters, "a<script>b", 80, 20);
        // WHEN
        String page = ReportPage.render(report());
        // THEN
        assertThat(page).contains("data:image/png;base64,").contains("node-2");
        assertThat(page)
                .doesNotContain("<script>")
                .doesNotContain("http:")
                .doesNotContain("src=\"/");
    }

    @Test
    void should_report_events_beyond_the_largest_number_of_series_as_not_counted() {
        // GIVEN
        ObjectiveCounters few = counters("node-1", 1);
        record(few, "first", 1, 0);
        record(few, "second", 3, 0);
        // WHEN
        BurnReport report = BurnReport.builder(mClock.millis()).add(few.counts()).build();
        // THEN
        assertThat(report.uncountedEvents()).isEqualTo(3);
        assertThat(report.complete()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({
        "FIRST_TOKEN, 550, 100, 900, GOOD",
        "FIRST_TOKEN, 551, 100, 900, BAD",
        "FIRST_TOKEN, , , , BAD",
        "BETWEEN_TOKENS, 1, 550, 900, GOOD",
        "BETWEEN_TOKENS, 1, 551, 900, BAD",
        "BETWEEN_TOKENS, 1, , 900, NONE",
        "BETWEEN_TOKENS, 1, 10, , BAD",
        "COMPLETION, 1, 1, 550, GOOD",
        "COMPLETION, 1, 1, , BAD",
        "AVAILABILITY, 1, 1, 99999, GOOD",
        "AVAILABILITY, 1, 1, , BAD"
    })
    void should_judge_requests_by_the_measure(
            Measure measure, Long first, Long gap, Long completion, String expected) {
        // GIVEN
        ObjectiveCounters counters = ObjectiveCounters.create("node-1", mClock, 10);
        counters.configure(
                List.of(new Objective("o", "*", "*", measure, 550, 0.95, MONTH_SECONDS)));
        // WHEN
        counters.record(
                new RequestOutcome("scribe", "a", time(first), time(gap), time(completion)));
        // THEN
        BurnReport report = BurnReport.builder(mClock.millis()).add(counters.counts()).build();
        long good = report.rows().stream().mapToLong(BurnRow::good).sum();
        long bad = report.rows().stream().mapToLong(BurnRow::bad).sum();
        assertThat(good).isEqualTo(expected.equals("GOOD") ? 1 : 0);
        assertThat(bad).isEqualTo(expected.equals("BAD") ? 1 : 0);
    }

    private BurnReport report() {
        return BurnReport.builder(mClock.millis())
                .add(mCounters.counts())
                .unreachable("node-2")
                .build();
    }

    private ObjectiveCounters counters(String node, int series) {
        ObjectiveCounters counters = ObjectiveCounters.create(node, mClock, series);
        counters.configure(
                List.of(
                        new Objective(
                                "whole", "*", "*", Measure.AVAILABILITY, 0, 0.99, MONTH_SECONDS)));
        return counters;
    }

    private static void record(ObjectiveCounters counters, String account, int good, int bad) {
        for (int event = 0; event < good + bad; event++) {
            Optional<Duration> end =
                    event < good ? Optional.of(Duration.ofSeconds(1)) : Optional.empty();
            counters.record(
                    new RequestOutcome("scribe", account, Optional.empty(), Optional.empty(), end));
        }
    }

    private static Optional<Duration> time(Long milliseconds) {
        return Optional.ofNullable(milliseconds).map(Duration::ofMillis);
    }

    private static double rate(BurnRow row, String window) {
        return row.burnRates().stream()
                .filter(rate -> rate.window().equals(window))
                .findFirst()
                .orElseThrow()
                .rate();
    }
}
