package org.foxtailridge.standins.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.standins.TestClient;
import org.foxtailridge.standins.time.ManualEventLoop;
import org.junit.jupiter.api.Test;

/** Checks both limits of the weight store. */
class WeightStoreStandinTest {
    private static final String MODEL =
            "{\"engine\":\"e\",\"kind\":\"model\",\"name\":\"m\",\"version\":\"1\",\"bytes\":2000}";
    private static final String ADAPTER = MODEL.replace("\"model\"", "\"adapter\"");

    @Test
    void should_refuse_models_above_the_rate_and_take_adapters_beside_it() {
        // GIVEN
        TestClient client = new TestClient();
        ManualEventLoop loop = ManualEventLoop.atEpoch();
        try (WeightStoreStandin store =
                WeightStoreStandin.builder()
                        .loop(loop)
                        .loadsPerSecond(1)
                        .bytesPerSecond(1_000)
                        .start()) {
            // WHEN
            CompletableFuture<HttpResponse<String>> one = load(client, store, MODEL);
            CompletableFuture<HttpResponse<String>> other = load(client, store, MODEL);
            CompletableFuture.anyOf(one, other).join();
            HttpResponse<String> refused = (one.isDone() ? one : other).join();
            CompletableFuture<HttpResponse<String>> model = one.isDone() ? other : one;
            CompletableFuture<HttpResponse<String>> adapter = load(client, store, ADAPTER);
            // THEN
            assertThat(refused.statusCode()).isEqualTo(429);
            assertThat(refused.headers().firstValue("Retry-After")).contains("1");
            while (!adapter.isDone()) {
                loop.advance(Duration.ofMillis(1));
            }
            assertThat(adapter.join().statusCode()).isEqualTo(200);
            while (!model.isDone()) {
                loop.advance(Duration.ofMillis(100));
            }
            assertThat(model.join().statusCode()).isEqualTo(200);
            assertThat(loop.clock().instant()).isAfterOrEqualTo(Instant.EPOCH.plusSeconds(2));
        }
    }

    @Test
    void should_slow_in_proportion_above_the_loads_at_full_speed() {
        // GIVEN
        SharedTransfers transfers = new SharedTransfers(2);
        List<Integer> done = new ArrayList<>();
        Instant now = Instant.EPOCH;
        for (int transfer = 0; transfer < 4; transfer++) {
            int number = transfer;
            transfers.add(Duration.ofSeconds(3), () -> done.add(number), now);
        }
        // WHEN
        Duration next = transfers.untilNext();
        // THEN
        assertThat(next).isEqualTo(Duration.ofSeconds(6));
        transfers.takeDone(now.plusSeconds(5)).forEach(Runnable::run);
        assertThat(done).isEmpty();
        transfers.takeDone(now.plusSeconds(6)).forEach(Runnable::run);
        assertThat(done).containsExactly(0, 1, 2, 3);
    }

    private static CompletableFuture<HttpResponse<String>> load(
            TestClient client, WeightStoreStandin store, String body) {
        return client.send("POST", store.address(), "/loads", body);
    }
}
