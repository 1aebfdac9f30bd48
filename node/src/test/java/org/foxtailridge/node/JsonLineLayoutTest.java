package org.foxtailridge.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.ParameterizedMessage;
import org.foxtailridge.core.log.LogEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonLineLayoutTest {
    private final JsonLineLayout mLayout = new JsonLineLayout();

    @Test
    void should_write_the_fields_of_an_event_as_an_object() throws IOException {
        // GIVEN
        LogEvent event = LogEvent.named("tokens_refused").text("request", "q-1").number("left", 7);
        // WHEN
        JsonNode line = line(event, null);
        // THEN
        assertThat(line.path("line").path("event").textValue()).isEqualTo("tokens_refused");
        assertThat(line.path("line").path("request").textValue()).isEqualTo("q-1");
        assertThat(line.path("line").path("left").isIntegralNumber()).isTrue();
        assertThat(line.path("level").textValue()).isEqualTo("WARN");
        assertThat(line.path("logger").textValue()).isEqualTo("a.logger");
        assertThat(line.path("time").isIntegralNumber()).isTrue();
        assertThat(line.has("exception")).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"a \"quoted\" word", "two\nlines", "ends\u0000", "\ud800 alone", "ü€"})
    void should_keep_any_text_on_one_line(String text) throws IOException {
        // WHEN
        String written = write(LogEvent.named("refused").text("reason", text), null);
        // THEN
        assertThat(written).endsWith("\n");
        assertThat(written.indexOf('\n')).isEqualTo(written.length() - 1);
        JsonNode line = new ObjectMapper().readTree(written);
        assertThat(line.path("line").path("reason").textValue()).isEqualTo(text);
    }

    @Test
    void should_write_a_plain_message_with_its_exception() throws IOException {
        // WHEN
        JsonNode line =
                line(
                        new ParameterizedMessage("a tick of {} failed", "limits"),
                        new IllegalStateException("why"));
        // THEN
        assertThat(line.path("line").textValue()).isEqualTo("a tick of limits failed");
        assertThat(line.path("exception").textValue())
                .contains("IllegalStateException: why")
                .contains("JsonLineLayoutTest");
    }

    private JsonNode line(Message message, Throwable thrown) throws IOException {
        return new ObjectMapper().readTree(write(message, thrown));
    }

    private String write(Message message, Throwable thrown) {
        return mLayout.toSerializable(
                Log4jLogEvent.newBuilder()
                        .setLoggerName("a.logger")
                        .setLevel(Level.WARN)
                        .setMessage(message)
                        .setThrown(thrown)
                        .build());
    }
}
