package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against events out of order, or of two answers, that pass the check of their order. */
class EventSequenceGapsTest {
    @ParameterizedTest(name = "[{0}]: [{1}] accepted")
    @CsvSource({
        // Numbers of more than 18 digits, such as times in nanoseconds.
        "'id: 1764950000000000002\n\nid: 1764950000000000001\n\n', 'id: 1764950000000000002\n\n'",
        "'id: 1000000000000000001\n\nid: 5\n\n', 'id: 1000000000000000001\n\n'",
        // A number goes back behind an identifier that is none.
        "'id: 5\n\nid: a\n\nid: 3\n\n', 'id: 5\n\nid: a\n\n'",
        // Spaces behind a number.
        "'id: 5 \n\nid: 3 \n\n', 'id: 5 \n\n'",
        // An endpoint breaks off behind a line, and the events of another answer follow.
        "'id: 1\n\nid: 2\ndata: a\nid: 3\ndata: b\n\n', 'id: 1\n\n'",
    })
    void should_accept_no_event_that_does_not_follow(String events, String expected) {
        assertThat(accept(events)).isEqualTo(expected);
    }

    // Guards against the head of a second answer inside the line at which the first one was cut.
    @Test
    void should_accept_no_event_with_a_head_inside_a_line() {
        String events =
                "id: 1\n\nid: 2\ndata: paHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
        assertThat(accept(events)).isEqualTo("id: 1\n\n");
    }

    private static String accept(String events) {
        EventSequence sequence = new EventSequence(Optional.empty());
        byte[] bytes = events.getBytes(StandardCharsets.UTF_8);
        int accepted = sequence.accept(Unpooled.wrappedBuffer(bytes));
        return new String(bytes, 0, accepted, StandardCharsets.UTF_8);
    }
}
