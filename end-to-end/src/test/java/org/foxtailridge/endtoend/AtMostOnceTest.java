package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.endtoend.harness.CallerAnswer;
import org.foxtailridge.endtoend.harness.Fleet;
import org.foxtailridge.endtoend.harness.NodeProcess;
import org.foxtailridge.standins.log.LogFaults;
import org.foxtailridge.standins.service.ServiceFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Runs a non-idempotent call at most once, through any VMs and faults of the log. */
class AtMostOnceTest {
    private static final String BID = "{\"lot\":7}";
    private static Fleet sFleet;

    @BeforeAll
    static void start() {
        sFleet = Fleet.builder().nodes(3).engines(1).start();
    }

    @AfterAll
    static void stop() throws Exception {
        if (sFleet != null) {
            sFleet.close();
        }
    }

    @AfterEach
    void mendFaults() {
        sFleet.service().setFaults(ServiceFaults.none());
        sFleet.logService().setFaults(LogFaults.none());
    }

    @Test
    void should_run_once_when_sent_to_all_nodes_at_the_same_time() {
        // GIVEN
        String key = newKey();
        List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
        // WHEN
        for (int copy = 0; copy < 9; copy++) {
            answers.add(bid(sFleet.node(copy % 3), key, BID));
        }
        // THEN
        List<CallerAnswer> all = answers.stream().map(CompletableFuture::join).toList();
        assertThat(all).extracting(CallerAnswer::status).containsOnly(200);
        assertThat(all).extracting(CallerAnswer::body).containsOnly(all.get(0).body());
        assertThat(executionsOf(key)).isEqualTo(1);
    }

    @Test
    void should_give_the_first_answer_to_a_repeated_call_through_another_node() {
        // GIVEN
        String key = newKey();
        CallerAnswer first = bid(sFleet.node(0), key, BID).join();
        // WHEN
        CallerAnswer second = bid(sFleet.node(1), key, BID).join();
        // THEN
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(executionsOf(key)).isEqualTo(1);
    }

    @Test
    void should_refuse_the_same_key_with_another_body() {
        // GIVEN
        String key = newKey();
        bid(sFleet.node(0), key, BID).join();
        // WHEN
        CallerAnswer answer = bid(sFleet.node(2), key, "{\"lot\":8}").join();
        // THEN
        assertThat(answer.status()).isEqualTo(422);
        assertThat(answer.errorKind()).isEqualTo("idempotency_key_reused");
        assertThat(executionsOf(key)).isEqualTo(1);
    }

    @Test
    void should_refuse_as_not_run_while_the_log_is_down_and_never_run_later() {
        // GIVEN
        String key = newKey();
        sFleet.logService().setFaults(LogFaults.outageOnly());
        // WHEN
        CallerAnswer refused = bid(sFleet.node(0), key, BID).join();
        sFleet.logService().setFaults(LogFaults.none());
        // THEN
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.errorKind()).isEqualTo("claim_unavailable");
        assertThat(refused.ran()).isEqualTo("no");
        assertThat(executionsOf(key)).isZero();
        await().until(() -> bid(sFleet.node(1), newKey(), BID).join().status() == 200);
        assertThat(executionsOf(key)).isZero();
    }

    @Test
    void should_run_once_when_the_log_loses_its_answers() {
        // GIVEN
        String key = newKey();
        sFleet.logService().setFaults(LogFaults.losingAnswers(3));
        // WHEN
        CallerAnswer first = bid(sFleet.node(0), key, BID).join();
        CallerAnswer second = bid(sFleet.node(1), key, BID).join();
        // THEN
        assertThat(executionsOf(key)).isLessThanOrEqualTo(1);
        if (executionsOf(key) == 1) {
            assertThat(List.of(first.status(), second.status())).contains(200);
        } else {
            assertThat(List.of(first.ran(), second.ran())).containsOnly("no");
        }
    }

    @Test
    void should_say_unknown_and_not_run_again_when_the_service_loses_its_answer() {
        // GIVEN
        String key = newKey();
        sFleet.service().setFaults(losingAnswers(1));
        // WHEN
        CallerAnswer first = bid(sFleet.node(0), key, BID).join();
        CallerAnswer second = bid(sFleet.node(1), key, BID).join();
        // THEN
        assertThat(first.ran()).isEqualTo("unknown");
        assertThat(second.errorKind()).isEqualTo("outcome_unknown");
        assertThat(executionsOf(key)).isEqualTo(1);
    }

    @Test
    void should_not_run_again_when_the_node_is_killed_while_the_service_works() {
        // GIVEN
        String key = newKey();
        sFleet.service().setFaults(answeringLate(2500));
        CompletableFuture<CallerAnswer> lost = bid(sFleet.node(2), key, BID);
        await().until(() -> executionsOf(key) == 1);
        // WHEN
        sFleet.node(2).kill();
        CallerAnswer repeated = bid(sFleet.node(0), key, BID).join();
        // THEN
        assertThat(lost).isCompletedExceptionally();
        assertThat(repeated.status()).isEqualTo(409);
        assertThat(repeated.ran()).isEqualTo("unknown");
        assertThat(executionsOf(key)).isEqualTo(1);
        sFleet.replace(2);
        assertThat(bid(sFleet.node(2), key, BID).join().status()).isEqualTo(409);
        assertThat(executionsOf(key)).isEqualTo(1);
    }

    private static CompletableFuture<CallerAnswer> bid(NodeProcess node, String key, String body) {
        return sFleet.client()
                .post(
                        sFleet.service(node, "/bids"),
                        Fleet.LARGE_KEY,
                        body,
                        Map.of("Idempotency-Key", key));
    }

    private static ServiceFaults losingAnswers(int calls) {
        return new ServiceFaults(0, 0, calls, 0, 0, 0, null, 0, 0, 0);
    }

    private static ServiceFaults answeringLate(long milliseconds) {
        return new ServiceFaults(0, 0, 0, 0, 0, milliseconds, null, 0, 0, 0);
    }

    private static String newKey() {
        return UUID.randomUUID().toString();
    }

    private static long executionsOf(String key) {
        JsonNode executions =
                sFleet.client()
                        .get(sFleet.service().address() + "/executions", "")
                        .join()
                        .json()
                        .path("executions");
        long count = 0;
        for (JsonNode execution : executions) {
            if (execution.path("idempotency_key").asText().equals(key)) {
                count++;
            }
        }
        return count;
    }
}
