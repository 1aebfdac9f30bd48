package org.foxtailridge.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.http.HttpResponse;
import java.time.Duration;
import org.foxtailridge.standins.weights.WeightStoreStandin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks orders: memory, fencing, idempotency, lost and late orders, loads through the store. */
class EngineOrderTest {
    @Test
    void should_load_within_memory_serve_and_unload() {
        try (EngineFixture fixture = EngineFixture.start()) {
            // WHEN
            HttpResponse<String> loaded = order(fixture, "o1", 1, "load_model", "desk", 5_000_000);
            HttpResponse<String> refused = order(fixture, "o2", 1, "load_model", "big", 2_000_000);
            // THEN
            assertThat(loaded.statusCode()).isEqualTo(202);
            assertThat(refused.statusCode()).isEqualTo(507);
            assertThat(refused.body()).isEqualTo("{\"reason\":\"no_memory\"}");
            assertThat(state(fixture, "o1")).contains("\"state\":\"done\"");
            order(fixture, "o3", 1, "unload_model", "desk", 0);
            assertThat(order(fixture, "o4", 1, "load_model", "big", 2_000_000).statusCode())
                    .isEqualTo(202);
            assertThat(fixture.mEngine.peakUsedBytes()).isLessThanOrEqualTo(10_000_000);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_honour_or_ignore_fencing(boolean honours) {
        try (EngineFixture fixture =
                EngineFixture.start(EngineFixture.builder().honoursFencing(honours))) {
            // GIVEN
            order(fixture, "o1", 7, "load_model", "desk", 1_000);
            // WHEN
            HttpResponse<String> old = order(fixture, "o2", 6, "unload_model", "desk", 0);
            // THEN
            assertThat(old.statusCode()).isEqualTo(honours ? 409 : 202);
            assertThat(old.body().equals("{\"reason\":\"old_fencing\",\"highest\":7}"))
                    .isEqualTo(honours);
            assertThat(status(fixture).contains("\"desk\"")).isEqualTo(honours);
        }
    }

    @Test
    void should_execute_an_order_once() {
        try (EngineFixture fixture = EngineFixture.start()) {
            // GIVEN
            order(fixture, "o1", 1, "load_model", "desk", 1_000);
            order(fixture, "o2", 1, "unload_model", "desk", 0);
            // WHEN
            HttpResponse<String> again = order(fixture, "o1", 1, "load_model", "desk", 1_000);
            // THEN
            assertThat(again.body()).isEqualTo("{\"order_id\":\"o1\",\"state\":\"done\"}");
            assertThat(status(fixture)).doesNotContain("\"desk\"");
        }
    }

    @Test
    void should_drop_lose_and_delay_orders() {
        try (EngineFixture fixture = EngineFixture.start()) {
            // GIVEN
            fixture.setFaults(EngineFaults.builder().dropOrders(1).loseOrderAnswers(1).build());
            // THEN
            assertThatThrownBy(() -> order(fixture, "dropped", 1, "load_model", "a", 1_000))
                    .isInstanceOf(Exception.class);
            assertThat(state(fixture, "dropped")).contains("unknown");
            assertThatThrownBy(() -> order(fixture, "lost", 1, "load_model", "b", 1_000))
                    .isInstanceOf(Exception.class);
            assertThat(state(fixture, "lost")).contains("done");
            fixture.setFaults(EngineFaults.builder().delayOrdersMilliseconds(1_000).build());
            var late =
                    fixture.mClient.send(
                            "POST",
                            fixture.mEngine.address(),
                            "/orders",
                            body("late", 1, "set_role", "decode", 0));
            fixture.mLoop.advance(Duration.ofMillis(500));
            assertThat(state(fixture, "late")).contains("unknown");
            fixture.advanceUntil(late::isDone);
            assertThat(status(fixture)).contains("\"role\":\"decode\"");
        }
    }

    @Test
    void should_unload_only_when_no_attempt_uses_the_model() {
        try (EngineFixture fixture = EngineFixture.start()) {
            // GIVEN
            fixture.setFaults(EngineFaults.builder().stallAfterTokens(1).build());
            String request = EngineFixture.request("hello", 9, true, 0);
            fixture.mClient.complete(fixture.mEngine.address(), "a", request);
            EngineFixture.await(() -> fixture.execution("a").tokens() == 1);
            // WHEN
            order(fixture, "o", 1, "unload_model", "scribe", 0);
            // THEN
            assertThat(state(fixture, "o")).contains("running");
            HttpResponse<String> refused =
                    fixture.mClient.complete(fixture.mEngine.address(), "b", request).join();
            assertThat(refused.statusCode()).isEqualTo(404);
            assertThat(refused.body())
                    .isEqualTo("{\"error\":{\"reason\":\"not_resident\"},\"started\":false}");
            fixture.mClient.send("DELETE", fixture.mEngine.address(), "/v1/attempts/a", "").join();
            assertThat(state(fixture, "o")).contains("done");
        }
    }

    @Test
    void should_load_through_the_weight_store_and_retry_when_it_refuses() {
        try (WeightStoreStandin store = WeightStoreStandin.builder().loadsPerSecond(1).start();
                EngineFixture fixture =
                        EngineFixture.start(EngineFixture.builder().weightStore(store.address()))) {
            // WHEN
            order(fixture, "o1", 1, "load_model", "a", 1_000);
            order(fixture, "o2", 1, "load_model", "b", 1_000);
            // THEN
            fixture.advanceUntil(() -> state(fixture, "o1").contains("done"));
            fixture.advanceUntil(() -> state(fixture, "o2").contains("done"));
        }
    }

    private static HttpResponse<String> order(
            EngineFixture fixture,
            String id,
            long fencing,
            String action,
            String name,
            long bytes) {
        return fixture.mClient.post(
                fixture.mEngine.address(), "/orders", body(id, fencing, action, name, bytes));
    }

    private static String body(String id, long fencing, String action, String name, long bytes) {
        return "{\"order_id\":\""
                + id
                + "\",\"fencing\":"
                + fencing
                + ",\"action\":\""
                + action
                + "\",\"name\":\""
                + name
                + "\",\"model\":null,\"version\":\"1\",\"bytes\":"
                + bytes
                + ",\"working_bytes\":0}";
    }

    private static String state(EngineFixture fixture, String id) {
        return fixture.mClient.get(fixture.mEngine.address(), "/orders/" + id).body();
    }

    private static String status(EngineFixture fixture) {
        return fixture.mClient.get(fixture.mEngine.address(), "/status").body();
    }
}
