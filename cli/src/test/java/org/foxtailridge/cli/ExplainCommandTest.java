package org.foxtailridge.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.core.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Explains requests of one day with trouble, by the lines that seven nodes wrote. */
class ExplainCommandTest {
    private final RecordingTerminal mTerminal = new RecordingTerminal();

    @ParameterizedTest
    @CsvSource({
        "a7915f22f80e0570, answered, a whole answer of",
        "5565159f7973d2ed, unknown_service, no route matches under configuration",
        "8ebe6858223c1831, endpoint_failed, failed (",
        "562b5f3fadd491ee, answer_timeout, it may have run",
        "24654a9c88d94a67, rate_exceeded, had no",
        "d12ec5bf81ca7873, no_endpoint, it has not run",
        "fed48a7f00a75cc0, no_endpoint, no other endpoint was left after the attempt at",
        "63503c53864b0c36, endpoint_failed, the attempt at",
        "a6ce0e0eb4341cce, endpoint_failed, it may have run",
        "1866eb4b82efef8d, deadline_unreachable, was full for",
        "928ca2bfd6303b98, caller_left, the caller left after",
        "dd2b5105b1e477f3, deadline_unreachable, it has not run",
    })
    void should_tell_the_cause_of_a_request(String request, String outcome, String reason) {
        // WHEN
        ExitCode code = explain("--request", request, "--output", "json");

        // THEN
        JsonNode history = Json.read(mTerminal.printed(), JsonNode.class);
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(history.path("cause").path("outcome").asText()).isEqualTo(outcome);
        assertThat(history.path("cause").path("reason").asText()).contains(reason);
        assertThat(history.path("lines")).isNotEmpty();
    }

    @Test
    void should_name_what_was_last_ordered_for_the_model_that_a_request_missed() {
        // WHEN
        explain("--request", "1866eb4b82efef8d");

        // THEN
        assertThat(mTerminal.printed())
                .contains("outcome: deadline_unreachable")
                .contains("look at: explain --model ");
    }

    @Test
    void should_say_when_no_line_names_a_request() {
        // WHEN
        ExitCode code = explain("--request", "0000000000000000");

        // THEN
        assertThat(code).isEqualTo(ExitCode.FAILED);
        assertThat(mTerminal.printed()).contains("left out when more came than a node writes");
    }

    @Test
    void should_count_the_lines_that_are_no_node_s() {
        // WHEN
        explain("--model", "lepu160a5d", "--output", "json");

        // THEN
        JsonNode history = Json.read(mTerminal.printed(), JsonNode.class);
        assertThat(history.path("unreadable_lines").asInt()).isEqualTo(1);
        assertThat(history.path("lines").findValuesAsText("event")).contains("order_answered");
        assertThat(history.has("cause")).isFalse();
    }

    @Test
    void should_tell_the_node_and_the_time_of_each_line() {
        // WHEN
        explain("--request", "24654a9c88d94a67");

        // THEN
        assertThat(mTerminal.printed()).containsPattern("\\+0 ms {2}edge-\\S+ +request_accepted");
    }

    @Test
    void should_refuse_a_file_that_can_not_be_read() {
        // WHEN
        ExitCode code =
                Foxtailridge.run(
                        List.of("explain", "--request", "1", "/does/not/exist.log"), mTerminal);

        // THEN
        assertThat(code).isEqualTo(ExitCode.USAGE);
        assertThat(mTerminal.messages()).contains("a readable file");
    }

    @Test
    void should_refuse_two_subjects() {
        assertThat(explain("--request", "1", "--model", "m")).isEqualTo(ExitCode.USAGE);
    }

    private ExitCode explain(String... options) {
        List<String> words = new ArrayList<>(List.of("explain"));
        words.addAll(List.of(options));
        words.add(file());
        return Foxtailridge.run(words, mTerminal);
    }

    private static String file() {
        try {
            return Path.of(ExplainCommandTest.class.getResource("explain/nodes.log").toURI())
                    .toString();
        } catch (URISyntaxException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
