package org.foxtailridge.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.configuration.model.Measure;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.objectives.count.RequestOutcome;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.ManualEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Collects a report from operator ports of which some do not answer or answer nonsense. */
class ReportCommandTest {
    private final RecordingTerminal mTerminal = new RecordingTerminal();
    @TempDir private Path mFolder;

    @Test
    void should_name_nodes_that_do_not_answer_and_write_text_json_and_page() throws Exception {
        // GIVEN
        try (StandinServer good = server(counts());
                StandinServer nonsense = server("<html>".getBytes(StandardCharsets.UTF_8))) {
            String page = mFolder.resolve("burn.html").toString();
            List<String> nodes =
                    List.of(
                            "report",
                            "--html",
                            page,
                            "--node",
                            good.address().toString(),
                            "--node",
                            nonsense.address().toString(),
                            "--node",
                            "http://127.0.0.1:1");
            // WHEN
            ExitCode code = Foxtailridge.run(nodes, mTerminal);
            // THEN
            assertThat(code).isEqualTo(ExitCode.PARTIAL);
            assertThat(mTerminal.printed())
                    .contains("1 nodes reached; NOT REACHED")
                    .contains(nonsense.address().toString())
                    .contains("http://127.0.0.1:1")
                    .contains("corner-studio");
            assertThat(Files.readString(Path.of(page))).contains("corner-studio");
        }
    }

    @Test
    void should_print_json_and_fail_when_no_node_answers() {
        // WHEN
        ExitCode code =
                Foxtailridge.run(
                        List.of("report", "--output", "json", "--node", "http://127.0.0.1:1"),
                        mTerminal);
        // THEN
        assertThat(code).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(mTerminal.printed())
                .contains("\"complete\":false")
                .contains("\"unreached_nodes\":[\"http://127.0.0.1:1\"]");
    }

    private static StandinServer server(byte[] body) {
        return StandinServer.start(
                "operators",
                0,
                ManualEventLoop.atEpoch(),
                exchange -> {
                    exchange.beginStream("application/x-protobuf");
                    exchange.write(body, true, Callback.NOOP);
                });
    }

    private static byte[] counts() {
        ObjectiveCounters counters = ObjectiveCounters.create("node-1", ManualClock.atEpoch(), 10);
        counters.configure(
                List.of(new Objective("whole", "*", "*", Measure.AVAILABILITY, 0, 0.99, 86_400)));
        counters.record(
                new RequestOutcome(
                        "scribe",
                        "corner-studio",
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(Duration.ofSeconds(1))));
        return counters.counts().toByteArray();
    }
}
