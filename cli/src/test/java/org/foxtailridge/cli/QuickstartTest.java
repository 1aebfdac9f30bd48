package org.foxtailridge.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.ProcessTerminal;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.list.ExampleLists;
import org.foxtailridge.core.json.Json;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.standins.engine.DeterministicText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the quickstart in this process and calls its nodes. */
class QuickstartTest {
    private static final int CALLERS_OF_NODE = 64;
    private static final int TOKENS = 200;
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @TempDir private Path mFolder;

    @Test
    void should_stream_whole_uncrossed_answers_to_64_callers_of_each_of_3_nodes()
            throws IOException {
        // GIVEN
        String ample =
                ExampleLists.QUICKSTART
                        .text()
                        .replace("= 50_000\n", "= 50_000_000\n")
                        .replace("= 200_000\n", "= 200_000_000\n");
        Path lists = Files.writeString(mFolder.resolve("lists.toml"), ample);
        // WHEN
        ExitCode code = quickstart(this::checkStreams, "--configuration", lists.toString());
        // THEN
        assertThat(code).isEqualTo(ExitCode.OK);
    }

    @Test
    void should_refuse_none_of_the_streams_that_fit_into_the_burst_of_the_example() {
        // WHEN
        ExitCode code = quickstart(this::checkStreams);
        // THEN
        assertThat(code).isEqualTo(ExitCode.OK);
    }

    private void checkStreams(JsonNode ready) {
        assertThat(ready.get("callers")).hasSize(3);
        assertThat(ready.get("accounts")).hasSize(2);
        String key = ready.get("key").asText();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (JsonNode node : ready.get("callers")) {
            for (int caller = 0; caller < CALLERS_OF_NODE; caller++) {
                answers.add(complete(node.asText(), key, "prompt " + answers.size()));
            }
        }
        for (int answer = 0; answer < answers.size(); answer++) {
            HttpResponse<String> response = answers.get(answer).join();
            String expected =
                    DeterministicText.of("scribe", "1", null, "prompt " + answer).whole(TOKENS);
            assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
            assertThat(textOf(response.body())).isEqualTo(expected);
        }
        assertThat(
                        complete(ready.get("callers").get(0).asText(), "fr_a_b", "x")
                                .join()
                                .statusCode())
                .isEqualTo(401);
    }

    private CompletableFuture<HttpResponse<String>> complete(
            String node, String key, String prompt) {
        String body =
                "{\"model\":\"scribe\",\"prompt\":\""
                        + prompt
                        + "\",\"max_tokens\":"
                        + TOKENS
                        + ",\"stream\":true}";
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(node + "/v1/completions"))
                        .timeout(Duration.ofSeconds(30))
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String textOf(String stream) {
        String[] frames = stream.strip().split("\n\n");
        assertThat(frames[frames.length - 1]).isEqualTo("data: [DONE]");
        StringBuilder text = new StringBuilder();
        for (int frame = 0; frame < frames.length - 1; frame++) {
            String data = frames[frame].substring("data: ".length());
            JsonNode choice = Json.read(data, JsonNode.class).get("choices").get(0);
            text.append(choice.get("text").asText());
        }
        return text.toString();
    }

    private static ExitCode quickstart(Consumer<JsonNode> check, String... options) {
        List<String> line = new ArrayList<>();
        line.addAll(List.of("quickstart", "--nodes", "3", "--port", "0"));
        line.addAll(List.of("--between-tokens-ms", "1"));
        line.addAll(List.of(options));
        return Foxtailridge.run(line, new CheckingTerminal(check));
    }

    /** Runs a check on the printed line in place of waiting for a signal. */
    private static final class CheckingTerminal implements Terminal {
        private final RecordingTerminal mRecorded = new RecordingTerminal();
        private final ProcessTerminal mProcess = new ProcessTerminal(MonotonicClock.start());
        private final Consumer<JsonNode> mCheck;

        private CheckingTerminal(Consumer<JsonNode> check) {
            mCheck = check;
        }

        @Override
        public PrintStream out() {
            return mRecorded.out();
        }

        @Override
        public PrintStream err() {
            return mRecorded.err();
        }

        @Override
        public Clock clock() {
            return mProcess.clock();
        }

        @Override
        public boolean showsProgress() {
            return false;
        }

        @Override
        public void pause(Duration duration) {
            mProcess.pause(duration);
        }

        @Override
        public void awaitStop(AutoCloseable running) {
            try (running) {
                mCheck.accept(Json.read(mRecorded.printed(), JsonNode.class));
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
        }
    }
}
