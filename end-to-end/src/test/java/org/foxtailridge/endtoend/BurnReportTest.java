package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.List;
import org.foxtailridge.configuration.model.Measure;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.endtoend.harness.CompletionBody;
import org.foxtailridge.endtoend.harness.Fleet;
import org.foxtailridge.endtoend.harness.NodeProcess;
import org.foxtailridge.objectives.report.BurnReport;
import org.foxtailridge.objectives.report.BurnRow;
import org.foxtailridge.protocol.objectives.BurnCounts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Counts the events of objectives on each node and reports them over all nodes. */
class BurnReportTest {
    private static final int LARGER_THAN_BURST = 500;

    private final Clock mClock = MonotonicClock.start();
    private final HttpClient mHttp = HttpClient.newHttpClient();
    private Fleet mFleet;

    @BeforeEach
    void start() {
        mFleet = Fleet.builder().nodes(2).engines(1).start();
        mFleet.awaitInForce(
                mFleet.operator()
                        .set(
                                objective("answered", Measure.AVAILABILITY, 0),
                                objective("begun", Measure.FIRST_TOKEN, 60_000),
                                objective("instant", Measure.COMPLETION, 1)));
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
    }

    @Test
    void should_report_the_requests_of_two_nodes_as_one() throws Exception {
        // WHEN
        complete(mFleet.node(0), 3);
        complete(mFleet.node(1), 2);
        // THEN
        BurnReport report = report(mFleet.nodes());
        assertThat(report.complete()).isTrue();
        assertEvents(report, "answered", Fleet.MODEL, 5, 0);
        assertEvents(report, "begun", Fleet.MODEL, 5, 0);
        assertEvents(report, "instant", Fleet.MODEL, 0, 5);
    }

    @Test
    void should_count_failed_service_calls_as_bad() throws Exception {
        // GIVEN
        String hours = mFleet.service(mFleet.node(0), "/hours");
        assertThat(mFleet.client().get(hours, "").join().status()).isEqualTo(200);
        mFleet.service().close();
        // WHEN
        assertThat(mFleet.client().get(hours, "").join().status()).isGreaterThanOrEqualTo(500);
        // THEN
        BurnReport report = report(mFleet.nodes());
        assertThat(rows(report, "answered", "desk"))
                .singleElement()
                .extracting(BurnRow::clientAccount, BurnRow::good, BurnRow::bad)
                .containsExactly("open-route", 1L, 1L);
    }

    @Test
    void should_leave_out_requests_that_the_plan_refuses() throws Exception {
        // WHEN
        int status =
                mFleet.client()
                        .complete(
                                mFleet.node(0),
                                Fleet.SMALL_KEY,
                                CompletionBody.whole("lot 9", LARGER_THAN_BURST))
                        .join()
                        .status();
        // THEN
        assertThat(status).isEqualTo(422);
        assertThat(report(mFleet.nodes()).rows()).isEmpty();
    }

    @Test
    void should_keep_the_counts_of_a_node_that_stops_gracefully() throws Exception {
        // GIVEN
        complete(mFleet.node(0), 3);
        complete(mFleet.node(1), 2);
        // WHEN
        mFleet.node(0).terminate();
        mFleet.node(0).waitForExit();
        // THEN
        BurnReport report = report(List.of(mFleet.node(1)));
        assertEvents(report, "answered", Fleet.MODEL, 5, 0);
    }

    private void complete(NodeProcess node, int requests) {
        for (int request = 0; request < requests; request++) {
            CompletionBody body = CompletionBody.whole("lot " + request, 4);
            int status = mFleet.client().complete(node, Fleet.LARGE_KEY, body).join().status();
            assertThat(status).isEqualTo(200);
        }
    }

    private BurnReport report(List<NodeProcess> nodes) throws Exception {
        BurnReport.Builder report = BurnReport.builder(mClock.millis());
        for (NodeProcess node : nodes) {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create(node.operators() + "/burn")).build();
            byte[] body = mHttp.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
            report.add(BurnCounts.parseFrom(body));
        }
        return report.build();
    }

    private static void assertEvents(
            BurnReport report, String objective, String route, long good, long bad) {
        assertThat(rows(report, objective, route))
                .singleElement()
                .extracting(BurnRow::clientAccount, BurnRow::good, BurnRow::bad)
                .containsExactly("auctions", good, bad);
    }

    private static List<BurnRow> rows(BurnReport report, String objective, String route) {
        return report.rows().stream()
                .filter(row -> row.objective().equals(objective))
                .filter(row -> row.route().equals(route))
                .toList();
    }

    private static Objective objective(String name, Measure measure, long thresholdMilliseconds) {
        return new Objective(name, "*", "*", measure, thresholdMilliseconds, 0.9, 3600);
    }
}
