package org.foxtailridge.node.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parses bodies of completions; refuses every other body with one kind of failure. */
class CompletionRequestParserTest {
    @Test
    void should_parse_a_body_and_ignore_unknown_fields() {
        // WHEN
        CompletionRequest request =
                parse("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":3,\"top_k\":{\"a\":1}}");
        // THEN
        assertThat(request.maximumTokens()).isEqualTo(3);
        assertThat(request.stream()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "null",
                "{\"model\":1,\"prompt\":\"p\"}",
                "{\"model\":\"m\"}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":-1}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":99999999999999999999}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1.5}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"work_class\":\"urgent\"}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"due\":\"tomorrow\"}"
            })
    void should_refuse_a_body_that_is_out_of_range(String body) {
        assertThatThrownBy(() -> parse(body)).isInstanceOf(MalformedRequestException.class);
    }

    @Test
    void should_refuse_bytes_that_are_not_utf8() {
        // GIVEN
        byte[] body = "{\"model\":\"m\",\"prompt\":\"x\"}".getBytes(StandardCharsets.UTF_8);
        body[body.length - 3] = (byte) 0xff;
        // THEN
        assertThatThrownBy(() -> CompletionRequestParser.parse(CompletionShape.TEXT, body))
                .isInstanceOf(MalformedRequestException.class);
    }

    @Property(seed = "20261204", tries = 2000)
    void should_parse_or_refuse_any_bytes(@ForAll byte[] body, @ForAll CompletionShape shape) {
        try {
            assertThat(CompletionRequestParser.parse(shape, body)).isNotNull();
        } catch (MalformedRequestException refused) {
            assertThat(refused.getMessage()).isNotBlank();
        }
    }

    private static CompletionRequest parse(String body) {
        return CompletionRequestParser.parse(
                CompletionShape.TEXT, body.getBytes(StandardCharsets.UTF_8));
    }
}
