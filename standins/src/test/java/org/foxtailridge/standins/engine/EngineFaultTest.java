package org.foxtailridge.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks each fault switch of the engine on answers and connections. */
class EngineFaultTest {
    private final EngineFixture mFixture = EngineFixture.start();

    @AfterEach
    void close() {
        mFixture.close();
    }

    @Test
    void should_crash_on_a_marked_request_with_all_that_share_the_engine() {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().stallAfterTokens(1).build());
        CompletableFuture<HttpResponse<String>> bystander = send("bystander", "hello", true);
        EngineFixture.await(() -> mFixture.execution("bystander").tokens() == 1);
        mFixture.setFaults(EngineFaults.builder().crashOn("boom", 2_000).build());
        String before = status();
        // WHEN
        CompletableFuture<HttpResponse<String>> marked = send("marked", "boom", true);
        // THEN
        assertThatThrownBy(marked::join).isInstanceOf(Exception.class);
        assertThatThrownBy(bystander::join).isInstanceOf(Exception.class);
        assertThat(mFixture.execution("bystander").state()).isEqualTo("failed");
        assertThat(mFixture.execution("marked").state()).isEqualTo("failed");
        assertThatThrownBy(this::status).isInstanceOf(Exception.class);
        mFixture.mLoop.advance(Duration.ofSeconds(2));
        assertThat(incarnation(status())).isGreaterThan(incarnation(before));
        assertThat(send("next", "hello", true).join().body()).endsWith("data: [DONE]\n\n");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_cut_answers_after_a_number_of_tokens(boolean stream) {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().cutAfterTokens(5).build());
        // THEN
        assertThatThrownBy(() -> send("a", "hello", stream).join()).isInstanceOf(Exception.class);
        assertThat(mFixture.execution("a").tokens()).isGreaterThanOrEqualTo(5);
    }

    @Test
    void should_send_half_a_frame_and_close() throws IOException {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().halfFrameAfterTokens(1).build());
        StringBuilder received = new StringBuilder();
        // WHEN
        String body = EngineFixture.request("hello", 50, true, 0);
        try (InputStream stream = mFixture.mClient.open(mFixture.mEngine.address(), "a", body)) {
            assertThatThrownBy(() -> readAll(stream, received)).isInstanceOf(IOException.class);
        }
        // THEN
        assertThat(received).contains("id: 0\n").contains("id: 1\n").doesNotContain("id: 2");
        assertThat(received.toString()).doesNotEndWith("\n\n");
    }

    @Test
    void should_answer_for_another_attempt() {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().otherAttempt().affectedRequests(1).build());
        // WHEN
        String crossed = send("a", "hello", true).join().body();
        // THEN
        assertThat(crossed).contains("\"attempt_id\":\"other-attempt\"").doesNotContain("\"a\"");
        assertThat(send("b", "hello", true).join().body()).contains("\"attempt_id\":\"b\"");
    }

    @Test
    void should_answer_late() {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().answerLateMilliseconds(1_000).build());
        // WHEN
        CompletableFuture<HttpResponse<String>> late = send("a", "hello", true);
        EngineFixture.await(() -> mFixture.execution("a").tokens() > 0);
        // THEN
        mFixture.mLoop.advance(Duration.ofMillis(990));
        assertThat(late).isNotDone();
        mFixture.advanceUntil(late::isDone);
        assertThat(late.join().body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void should_hold_requests_for_a_time() {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().holdMilliseconds(3_000).build());
        // WHEN
        CompletableFuture<HttpResponse<String>> held = send("a", "hello", true);
        mFixture.mLoop.advance(Duration.ofMillis(2_900));
        // THEN
        assertThat(held).isNotDone();
        mFixture.advanceUntil(held::isDone);
        assertThat(held.join().body()).endsWith("data: [DONE]\n\n");
    }

    private CompletableFuture<HttpResponse<String>> send(
            String attempt, String prompt, boolean stream) {
        String body = EngineFixture.request(prompt, 50, stream, 0);
        return mFixture.mClient.complete(mFixture.mEngine.address(), attempt, body);
    }

    private String status() {
        return mFixture.mClient.get(mFixture.mEngine.address(), "/status").body();
    }

    private static long incarnation(String status) {
        return Long.parseLong(status.replaceFirst("\\{\"incarnation\":(\\d+),.*", "$1"));
    }

    private static void readAll(InputStream stream, StringBuilder into) throws IOException {
        byte[] buffer = new byte[256];
        int length = stream.read(buffer);
        while (length >= 0) {
            into.append(new String(buffer, 0, length, StandardCharsets.UTF_8));
            length = stream.read(buffer);
        }
    }
}
