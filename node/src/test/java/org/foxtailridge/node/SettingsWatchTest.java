package org.foxtailridge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.forwarding.node.ForwardingSettings;
import org.foxtailridge.node.settings.ForwardingSettingsFile;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsWatchTest {
    private static final String SETTINGS =
            """
            [node]
            name = "vm-1"
            data_centre = "nadi-b"
            stop_milliseconds = %d
            [callers]
            address = "127.0.0.1:%d"
            [operators]
            address = "127.0.0.1:9002"
            [inner]
            address = "127.0.0.1:9003"
            seeds = "%s"
            [platform]
            store_address = "127.0.0.1:9004"
            """;

    private final List<ForwardingSettings> mTold = new ArrayList<>();
    @TempDir private Path mDirectory;
    private Path mFile;
    private SettingsWatch mWatch;

    @BeforeEach
    void write() throws IOException {
        mFile = mDirectory.resolve("node.toml");
        Files.writeString(mFile, SETTINGS.formatted(8_000, 9_001, ""));
        mWatch = SettingsWatch.start(mFile, mTold::add);
    }

    @Test
    void should_tell_nothing_while_the_file_stays_as_it_is() {
        // WHEN
        mWatch.check();
        // THEN
        assertThat(mTold).isEmpty();
    }

    @Test
    void should_tell_changed_settings_once() throws IOException {
        // WHEN
        Files.writeString(mFile, SETTINGS.formatted(6_500, 9_001, "10.1.0.25:8229"));
        mWatch.check();
        mWatch.check();
        // THEN
        assertThat(mTold).hasSize(1);
        assertThat(mTold.get(0).stopTime()).isEqualTo(Duration.ofMillis(6_500));
        assertThat(mTold.get(0).seeds()).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[node", "[node]\nunknown = 1\n"})
    void should_keep_what_it_has_until_settings_can_be_read_again(String spoiled)
            throws IOException {
        // GIVEN
        Files.writeString(mFile, spoiled);
        mWatch.check();
        // WHEN
        Files.writeString(mFile, SETTINGS.formatted(6_500, 9_001, ""));
        mWatch.check();
        // THEN
        assertThat(mTold).hasSize(1);
    }

    @Test
    void should_keep_what_it_has_while_the_file_is_missing() throws IOException {
        // GIVEN
        Files.delete(mFile);
        // WHEN
        mWatch.check();
        // THEN
        assertThat(mTold).isEmpty();
    }

    @Test
    void should_keep_what_a_node_is_until_it_starts_again() throws IOException {
        // GIVEN
        ForwardingSettings before = ForwardingSettingsFile.read(mFile).settings();
        Files.writeString(mFile, SETTINGS.formatted(6_500, 9_999, ""));
        ForwardingSettings read = ForwardingSettingsFile.read(mFile).settings();
        // WHEN
        ForwardingSettings reloaded = before.reloaded(read);
        // THEN
        assertThat(reloaded.callers()).isEqualTo(before.callers());
        assertThat(reloaded.stopTime()).isEqualTo(read.stopTime());
        assertThat(reloaded).isNotEqualTo(read);
    }
}
