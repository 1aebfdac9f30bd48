package org.foxtailridge.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks what the engine reports: lagging load, cache events late and with gaps, KV handles. */
class EngineReportTest {
    private static final String LONG_PROMPT = "x".repeat(4 * PrefixCache.BLOCK_CHARACTERS);

    @Test
    void should_report_load_as_it_was() {
        try (EngineFixture fixture =
                EngineFixture.start(EngineFixture.builder().loadReportLag(Duration.ofSeconds(2)))) {
            // GIVEN
            fixture.setFaults(EngineFaults.builder().stallAfterTokens(1).build());
            String body = EngineFixture.request("hello", 9, true, 0);
            fixture.mClient.complete(fixture.mEngine.address(), "a", body);
            EngineFixture.await(() -> fixture.execution("a").tokens() == 1);
            // THEN
            assertThat(get(fixture, "/status")).contains("\"running\":0");
            fixture.mLoop.advance(Duration.ofSeconds(2));
            assertThat(get(fixture, "/status")).contains("\"as_of_ms\":2000,\"running\":1");
        }
    }

    @Test
    void should_publish_cache_events_late_and_with_gaps_and_evict() {
        try (EngineFixture fixture =
                EngineFixture.start(
                        EngineFixture.builder()
                                .cacheEventLag(Duration.ofSeconds(1))
                                .cacheEventLoss(0.4)
                                .prefixCacheTokens(128))) {
            // GIVEN
            complete(fixture, "a");
            assertThat(get(fixture, "/cache-events")).contains("\"events\":[]");
            // WHEN
            fixture.mLoop.advance(Duration.ofSeconds(1));
            String events = get(fixture, "/cache-events");
            // THEN
            int published = events.split("\"sequence\"").length - 1;
            assertThat(published).isBetween(1, 5);
            assertThat(events).contains("stored").contains("\"next\":");
        }
    }

    @Test
    void should_carry_a_prefix_to_another_engine_by_handle() {
        try (EngineFixture from = EngineFixture.start();
                EngineFixture into =
                        EngineFixture.start(
                                EngineFixture.builder().prefillPerToken(Duration.ofSeconds(1)))) {
            // GIVEN
            complete(from, "a");
            String handle =
                    from.mClient
                            .post(from.mEngine.address(), "/kv/export", "{\"attempt_id\":\"a\"}")
                            .body();
            // WHEN
            String imported =
                    into.mClient.post(into.mEngine.address(), "/kv/import", handle).body();
            // THEN
            assertThat(imported).isEqualTo(handle);
            complete(into, "b");
            assertThat(into.execution("b").state()).isEqualTo("finished");
        }
    }

    private static void complete(EngineFixture fixture, String attempt) {
        String body = EngineFixture.request(LONG_PROMPT, 5, false, 0);
        fixture.mClient.complete(fixture.mEngine.address(), attempt, body).join();
    }

    private static String get(EngineFixture fixture, String path) {
        return fixture.mClient.get(fixture.mEngine.address(), path).body();
    }
}
