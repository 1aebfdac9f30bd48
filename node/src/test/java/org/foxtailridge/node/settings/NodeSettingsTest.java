package org.foxtailridge.node.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reads settings strictly. */
class NodeSettingsTest {
    private static final String REQUIRED =
            """
            [node]
            name = "vm-1"
            data_centre = "lautoka-a"
            [peers]
            secret = "0123456789abcdef"
            [platform]
            log = "http://127.0.0.1:1"
            vm_list = "http://127.0.0.1:2"
            """;

    @Test
    void should_use_defaults_for_keys_left_out() {
        // WHEN
        NodeSettings settings = NodeSettings.parse("node.toml", REQUIRED);
        // THEN
        assertThat(settings.name().value()).isEqualTo("vm-1");
        assertThat(settings.callerPort()).isEqualTo(8080);
        assertThat(settings.callerTls()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[callers]\\nprot = 1 | node.toml:10: unknown key callers.prot",
                "[callers]\\nport = 70000 | node.toml:10: expected callers.port to be a whole"
                        + " number from 0 to 65535 but was 70000",
                "[callers]\\nport = \"x\" | node.toml:10: expected callers.port",
                "[callers\\n | node.toml:9:"
            })
    void should_name_file_line_and_key_of_what_is_refused(String added, String message) {
        // GIVEN
        String text = REQUIRED + added.replace("\\n", "\n");
        // THEN
        assertThatThrownBy(() -> NodeSettings.parse("node.toml", text))
                .isInstanceOf(SettingsException.class)
                .hasMessageStartingWith(message);
    }

    @Test
    void should_refuse_a_file_that_lacks_a_required_key() {
        assertThatThrownBy(() -> NodeSettings.parse("node.toml", "[node]\nname = \"a\"\n"))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("node.data_centre");
    }
}
