package org.foxtailridge.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.clients.log.LogRecord;
import org.foxtailridge.configuration.list.ExampleLists;
import org.foxtailridge.standins.log.LogFaults;
import org.foxtailridge.standins.log.LogStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs commands against a log: publication, races, lost answers, outages, keys, exit codes. */
class CommandLineTest {
    private final RecordingTerminal mTerminal = new RecordingTerminal();
    private final LogStandin mLog = LogStandin.builder().start();
    @TempDir private Path mFolder;
    private String mLists;

    @BeforeEach
    void writeLists() throws IOException {
        mLists = write("lists.toml", ExampleLists.QUICKSTART.text() + endpoint());
    }

    @AfterEach
    void close() {
        mLog.close();
    }

    @Test
    void should_publish_once_and_show_what_is_in_force() throws IOException {
        // WHEN
        ExitCode first = run("configuration publish " + mLists);
        ExitCode again = run("configuration publish " + mLists);
        // THEN
        assertThat(List.of(first, again)).containsOnly(ExitCode.OK);
        assertThat(mTerminal.printed())
                .contains("at offset 0")
                .contains("nothing to change as of offset 0");
        run("configuration show");
        String shown = write("shown.toml", mTerminal.printed());
        run("configuration diff " + shown);
        assertThat(mTerminal.printed()).isEqualTo("no difference as of offset 0\n");
    }

    @Test
    void should_find_an_edit_whose_answer_was_lost_and_append_it_once() {
        // GIVEN
        mLog.setFaults(LogFaults.losingAnswers(1));
        // WHEN
        ExitCode code = run("configuration publish " + mLists);
        // THEN
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(records()).hasSize(1);
    }

    @Test
    void should_say_so_when_the_log_is_down_and_go_on_when_it_returns() {
        // GIVEN
        mLog.setFaults(LogFaults.outageOnly());
        // WHEN
        ExitCode down = run("key give --account harbour-books");
        // THEN
        assertThat(down).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(mTerminal.messages()).contains("is not in the log");
        mLog.setFaults(LogFaults.none());
        run("configuration publish " + mLists);
        mLog.setFaults(LogFaults.outageOnly());
        mTerminal.onPause(() -> mLog.setFaults(LogFaults.none()));
        assertThat(run("key give --account harbour-books")).isEqualTo(ExitCode.OK);
        assertThat(records()).hasSize(2);
    }

    @Test
    void should_tell_the_loser_of_a_race() {
        // GIVEN
        run("configuration publish " + mLists);
        run("key give --account harbour-books --output json");
        String identifier =
                mTerminal.printed().replaceFirst("(?s).*\"identifier\":\"([0-9a-f]+)\".*", "$1");
        RacingLog race = new RacingLog(mLog.address().toString(), identifier);
        // WHEN
        race.withdrawTwiceFromTheSameState();
        // THEN
        assertThat(race.outcomes()).containsExactly("in force", "edit_conflict");
    }

    @Test
    void should_publish_only_a_hash_of_a_key_and_stop_listing_it_once_withdrawn() {
        // GIVEN
        run("configuration publish " + mLists);
        mTerminal.printed();
        // WHEN
        run("key give --account corner-studio");
        String key = mTerminal.printed().strip();
        // THEN
        String secret = key.split("_", 3)[2];
        assertThat(records()).noneMatch(record -> record.payload().contains(secret));
        run("key list");
        assertThat(mTerminal.printed()).contains("corner-studio");
        assertThat(run("key withdraw " + key)).isEqualTo(ExitCode.OK);
        mTerminal.printed();
        run("key list");
        assertThat(mTerminal.printed()).isBlank();
        assertThat(run("key withdraw " + key)).isEqualTo(ExitCode.USAGE);
        assertThat(mTerminal.messages()).doesNotContain(secret);
    }

    @Test
    void should_refuse_invalid_lists_and_accounts_without_a_change() throws IOException {
        // GIVEN
        run("configuration publish " + mLists);
        String bad = write("bad.toml", ExampleLists.QUICKSTART.text().replace("rate", "rat"));
        // WHEN
        ExitCode publish = run("configuration publish " + bad);
        ExitCode validate = run("configuration validate " + bad);
        ExitCode give = run("key give --account nobody");
        // THEN
        assertThat(List.of(publish, validate, give)).containsOnly(ExitCode.INVALID);
        run("configuration diff " + mLists);
        assertThat(mTerminal.printed()).contains("no difference");
    }

    @Test
    void should_name_the_nodes_that_do_not_report_an_edit_in_force() {
        // WHEN
        ExitCode code = run("configuration publish --wait --node http://127.0.0.1:1 " + mLists);
        // THEN
        assertThat(code).isEqualTo(ExitCode.PARTIAL);
        assertThat(mTerminal.printed()).contains("not reported in force by: http://127.0.0.1:1");
        assertThat(Foxtailridge.run(List.of("status", "--node", "http://127.0.0.1:1"), mTerminal))
                .isEqualTo(ExitCode.UNAVAILABLE);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "configuration",
                "configuration publish",
                "nonsense",
                "key give",
                "standin engine --port x",
                "standin engine --model scribe",
                "status"
            })
    void should_answer_unreadable_command_lines_with_the_usage_code(String line) {
        // WHEN
        ExitCode code = Foxtailridge.run(words(line), mTerminal);
        // THEN
        assertThat(code).isEqualTo(line.contains("--model") ? ExitCode.INVALID : ExitCode.USAGE);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "--help",
                "configuration --help",
                "configuration publish --help",
                "key --help",
                "key give --help",
                "standin engine --help",
                "status --help"
            })
    void should_help(String line) {
        // WHEN
        ExitCode code = Foxtailridge.run(words(line), mTerminal);
        // THEN
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(mTerminal.printed()).containsAnyOf("SYNOPSIS", "usage:");
    }

    private ExitCode run(String line) {
        List<String> words = new ArrayList<>(words(line));
        if (!line.startsWith("configuration validate")) {
            words.addAll(2, List.of("--log", mLog.address().toString()));
        }
        return Foxtailridge.run(words, mTerminal);
    }

    private static List<String> words(String line) {
        return line.isEmpty() ? List.of() : Arrays.asList(line.split(" "));
    }

    private List<LogRecord> records() {
        try (Connection connection = Connection.open(Duration.ofSeconds(5))) {
            return connection
                    .log(mLog.address().toString())
                    .read("configuration", 0, 100, Duration.ZERO)
                    .join()
                    .records();
        }
    }

    private String write(String name, String text) throws IOException {
        return Files.writeString(mFolder.resolve(name), text).toString();
    }

    private static String endpoint() {
        String engine =
                """

                [[endpoint]]
                name = "engine-0"
                kind = "engine"
                pool = "engines"
                data_centre = "centre-0"
                address = "http://127.0.0.1:9"
                memory_bytes = 80_000_000_000
                accelerators = 1
                """;
        String service =
                """

                [[endpoint]]
                name = "desk-0"
                kind = "service"
                pool = "desk"
                data_centre = "centre-0"
                address = "http://127.0.0.1:8"
                accelerators = 0
                """;
        return engine + service;
    }
}
