package org.foxtailridge.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks streams: whole, resumed, cancelled, held back by a slow caller, ordered by priority. */
class EngineStreamTest {
    private static final int CALLERS = 64;
    private static final int TOKENS = 200;
    private final ObjectMapper mMapper = new ObjectMapper();
    private EngineFixture mFixture = EngineFixture.start();

    @AfterEach
    void close() {
        mFixture.close();
    }

    @Test
    void should_stream_200_tokens_whole_and_in_order_to_64_callers_at_once() throws IOException {
        // WHEN
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            String body = EngineFixture.request("prompt " + caller, TOKENS, true, 0);
            answers.add(mFixture.mClient.complete(mFixture.mEngine.address(), "a" + caller, body));
        }
        // THEN
        for (int caller = 0; caller < CALLERS; caller++) {
            String expected = EngineFixture.textOf("prompt " + caller, TOKENS);
            assertThat(streamedText(answers.get(caller).join().body(), 0, "a" + caller))
                    .isEqualTo(expected);
        }
    }

    @Test
    void should_give_the_same_text_whole_and_from_another_engine() throws IOException {
        // GIVEN
        String body = EngineFixture.request("hello", 20, false, 0);
        try (EngineFixture other = EngineFixture.start(EngineFixture.builder().seed(77))) {
            // WHEN
            String first = complete(mFixture, "a", body);
            String second = complete(other, "b", body);
            // THEN
            String text = EngineFixture.textOf("hello", 20);
            assertThat(mMapper.readTree(first).get("text").asText()).isEqualTo(text);
            assertThat(mMapper.readTree(second).get("text").asText()).isEqualTo(text);
            assertThat(first).contains("\"finish_reason\":\"length\"");
        }
    }

    @Test
    void should_continue_a_cut_stream_after_the_last_index() throws IOException {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().cutAfterTokens(7).affectedRequests(1).build());
        String body = EngineFixture.request("hello", 50, true, 0);
        assertThatThrownBy(() -> complete(mFixture, "a", body)).isInstanceOf(Exception.class);
        // WHEN
        String rest =
                mFixture.mClient
                        .send(
                                "GET",
                                mFixture.mEngine.address(),
                                "/v1/attempts/a/stream",
                                "",
                                "Last-Event-ID",
                                "6")
                        .join()
                        .body();
        // THEN
        String head = EngineFixture.textOf("hello", 7);
        assertThat(head + streamedText(rest, 7, "a")).isEqualTo(EngineFixture.textOf("hello", 50));
    }

    @Test
    void should_refuse_to_continue_an_unknown_attempt() {
        assertThat(
                        mFixture.mClient
                                .get(mFixture.mEngine.address(), "/v1/attempts/none/stream")
                                .statusCode())
                .isEqualTo(404);
    }

    @Test
    void should_hold_back_an_answer_whose_caller_does_not_read() throws IOException {
        // GIVEN
        int tokens = 300_000;
        String body = EngineFixture.request("slow", tokens, true, 0);
        // WHEN
        try (InputStream stream = mFixture.mClient.open(mFixture.mEngine.address(), "a", body)) {
            EngineFixture.await(() -> mFixture.execution("a").tokens() > 0);
            complete(mFixture, "b", EngineFixture.request("other", 2_000, false, 0));
            // THEN
            assertThat(mFixture.execution("a").tokens()).isLessThan(tokens / 2);
            assertThat(mFixture.execution("a").state()).isEqualTo("running");
            assertThat(stream.read()).isPositive();
        }
    }

    @Test
    void should_cancel_and_refuse_an_attempt_cancelled_before_it_arrives() {
        // GIVEN
        mFixture.setFaults(EngineFaults.builder().stallAfterTokens(3).build());
        String body = EngineFixture.request("hello", 50, true, 0);
        CompletableFuture<HttpResponse<String>> stalled =
                mFixture.mClient.complete(mFixture.mEngine.address(), "a", body);
        EngineFixture.await(() -> mFixture.execution("a").tokens() == 3);
        // WHEN
        int cancelled = delete("a");
        int early = delete("late");
        // THEN
        assertThat(cancelled).isEqualTo(204);
        assertThat(early).isEqualTo(204);
        assertThatThrownBy(stalled::join).isInstanceOf(Exception.class);
        assertThat(mFixture.execution("a").state()).isEqualTo("cancelled");
        HttpResponse<String> refused =
                mFixture.mClient.complete(mFixture.mEngine.address(), "late", body).join();
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).endsWith("\"started\":false}");
        assertThat(mFixture.execution("late").state()).isEqualTo("absent");
    }

    @Test
    void should_run_urgent_attempts_first_when_memory_is_short() {
        // GIVEN
        mFixture.close();
        mFixture =
                EngineFixture.start(
                        EngineFixture.builder()
                                .kvBytesPerToken(100_000)
                                .betweenTokens(Duration.ofMillis(10)));
        submit("running", 30, 5);
        submit("late", 30, 9);
        submit("urgent", 30, 0);
        // WHEN
        mFixture.advanceUntil(() -> mFixture.execution("urgent").tokens() > 0);
        // THEN
        assertThat(mFixture.execution("running").state()).isEqualTo("finished");
        assertThat(mFixture.execution("late").tokens()).isZero();
        mFixture.advanceUntil(() -> mFixture.execution("late").state().equals("finished"));
    }

    private void submit(String attempt, int tokens, int priority) {
        String body = EngineFixture.request(attempt, tokens, false, priority);
        mFixture.mClient.complete(mFixture.mEngine.address(), attempt, body);
        EngineFixture.await(() -> !mFixture.execution(attempt).state().equals("absent"));
    }

    private int delete(String attempt) {
        return mFixture.mClient
                .send("DELETE", mFixture.mEngine.address(), "/v1/attempts/" + attempt, "")
                .join()
                .statusCode();
    }

    private static String complete(EngineFixture fixture, String attempt, String body) {
        return fixture.mClient.complete(fixture.mEngine.address(), attempt, body).join().body();
    }

    private String streamedText(String stream, int first, String attempt) throws IOException {
        StringBuilder text = new StringBuilder();
        String[] frames = stream.split("\n\n");
        assertThat(frames[frames.length - 1]).isEqualTo("data: [DONE]");
        for (int frame = 0; frame < frames.length - 1; frame++) {
            String[] lines = frames[frame].split("\n");
            assertThat(lines[0]).isEqualTo("id: " + (first + frame));
            JsonNode token = mMapper.readTree(lines[1].substring("data: ".length()));
            assertThat(token.get("attempt_id").asText()).isEqualTo(attempt);
            text.append(token.get("text").asText());
        }
        return text.toString();
    }
}
