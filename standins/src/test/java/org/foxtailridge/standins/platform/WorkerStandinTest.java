package org.foxtailridge.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import org.foxtailridge.standins.TestClient;
import org.foxtailridge.standins.server.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkerStandinTest {
    private static final String ORDER =
            "{'op':'%s','model':'%s','expect':%d,'holder':'n','fenceToken':4}";

    private final StoreStandin mStore = StoreStandin.builder().start();
    private final WorkerStandin mWorker =
            WorkerStandin.builder("i-1", "scribe", "nadi-b", mStore)
                    .model("m1")
                    .streams(6, Duration.ofMillis(1))
                    .loadTime(Duration.ofDays(1))
                    .start();
    private final TestClient mClient = new TestClient();

    @AfterEach
    void close() {
        mWorker.close();
        mStore.close();
    }

    @Test
    void should_announce_itself_and_say_when_it_leaves() {
        // GIVEN
        String before = entry().path("state").asText();
        // WHEN
        mWorker.drain();
        // THEN
        assertThat(before).isEqualTo("ready");
        assertThat(entry().path("state").asText()).isEqualTo("draining");
        assertThat(entry().path("models").get(0).path("name").asText()).isEqualTo("m1");
    }

    @ParameterizedTest(name = "{0} {1}: {2}")
    @CsvSource({"X-Expect-Instance, i-2, 421", "X-Model, m2, 421", "X-Model, m1/a1, 421"})
    void should_not_run_what_is_not_for_it(String header, String value, int status) {
        // WHEN
        HttpResponse<String> answer = send("body", header, value);
        // THEN
        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(mWorker.executions()).isEmpty();
    }

    @Test
    void should_answer_with_a_whole_stream_under_its_seal() {
        // WHEN
        HttpResponse<String> answer = send("lot 7", "X-Model", "m1");
        // THEN
        assertThat(answer.body()).isEqualTo(WorkerStandin.eventsOf("lot 7", 0, 6));
        assertThat(answer.headers().firstValue("X-Response-Seal")).isPresent();
        assertThat(answer.headers().firstValue("X-Request-Id")).contains("q-1");
    }

    @Test
    void should_go_on_behind_an_event() {
        // WHEN
        HttpResponse<String> answer = send("lot 7", "X-Model", "m1", "Last-Event-Id", "4");
        // THEN
        assertThat(answer.body()).isEqualTo(WorkerStandin.eventsOf("lot 7", 4, 6));
    }

    @Test
    void should_carry_out_one_order_at_a_time_and_only_under_the_number_it_expects() {
        // WHEN
        int wrongNumber = order("load", "m2", 3);
        int held = order("load", "m1", 0);
        int accepted = order("load", "m2", 0);
        int busy = order("load", "m3", 1);
        // THEN
        assertThat(wrongNumber).isEqualTo(409);
        assertThat(held).isEqualTo(200);
        assertThat(accepted).isEqualTo(202);
        assertThat(busy).isEqualTo(409);
        assertThat(report().path("seq").asLong()).isEqualTo(1);
        assertThat(report().path("busy").asBoolean()).isTrue();
    }

    @Test
    void should_say_that_it_did_not_run_what_it_rejects_as_full() {
        // GIVEN
        mWorker.setFaults(WorkerFaults.none().withFull(1));
        // WHEN
        HttpResponse<String> rejected = send("lot 7", "X-Model", "m1");
        HttpResponse<String> served = send("lot 7", "X-Model", "m1");
        // THEN
        assertThat(rejected.statusCode()).isEqualTo(503);
        assertThat(rejected.headers().firstValue("X-Not-Executed")).isPresent();
        assertThat(served.statusCode()).isEqualTo(200);
        assertThat(mWorker.executions()).hasSize(1);
    }

    private HttpResponse<String> send(String body, String... headers) {
        String[] all = new String[headers.length + 2];
        System.arraycopy(headers, 0, all, 0, headers.length);
        all[headers.length] = "X-Request-Id";
        all[headers.length + 1] = "q-1";
        return mClient.send("POST", mWorker.address(), "/lots/7", body, all).join();
    }

    private int order(String operation, String model, int expected) {
        String body = String.format(ORDER, operation, model, expected).replace('\'', '"');
        return mClient.post(mWorker.address(), "/order", body).statusCode();
    }

    private JsonNode report() {
        return read(mClient.get(mWorker.address(), "/report").body());
    }

    private JsonNode entry() {
        JsonNode page =
                read(
                        mClient.get(mStore.address(), "/log-newest?topic=keyed.servers&part=0")
                                .body());
        byte[] value = Base64.getDecoder().decode(page.path("items").get(0).path("value").asText());
        return read(new String(value, StandardCharsets.UTF_8));
    }

    private static JsonNode read(String json) {
        return Json.read(json.getBytes(StandardCharsets.UTF_8), JsonNode.class);
    }
}
