package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against events that reach the caller twice, out of order or from another answer (issue 40,
 * ORDER).
 */
class EventSequenceTest {
    private final EventSequence mSequence = new EventSequence(Optional.empty());

    @ParameterizedTest(name = "[{0}] after [{1}]: [{2}] accepted")
    @CsvSource({
        "'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', '', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'",
        "'id:1\r\ndata:a\r\n\r\nid:2\r\n\r\n', '', 'id:1\r\ndata:a\r\n\r\nid:2\r\n\r\n'",
        "'id: 13\n\nid: 20\n\n', 12, 'id: 13\n\nid: 20\n\n'",
        "'id: 9\n\nid: 10\n\n', '', 'id: 9\n\nid: 10\n\n'",
        "'id: a\n\nid: b\n\n', '', 'id: a\n\nid: b\n\n'",
        "': comment\n\nid: 1\ndata\n\n', '', ': comment\n\nid: 1\ndata\n\n'",
        "'x-weight-versions: 4\nid: 3\ndata: a\n\n', 2, 'x-weight-versions: 4\nid: 3\ndata: a\n\n'",
        "'id: 1\n\nid: 1\n\n', '', 'id: 1\n\n'",
        "'id: 2\n\nid: 1\n\nid: 3\n\n', '', 'id: 2\n\n'",
        "'id: 1\n\nid: 2\n\n', 12, ''",
        "'id: 12\n\nid: 13\n\n', 12, ''",
        "'id: b\n\nid: b\n\n', a, 'id: b\n\n'",
        "'id: 1\n\nHTTP/1.1 200 OK\nid: 2\n\nid: 3\n\n', '', 'id: 1\n\n'",
        "'1a\nid: 1\ndata: a\n\n', '', ''",
    })
    void should_accept_events_up_to_the_first_that_does_not_follow(
            String events, String resumeAfter, String expected) {
        // GIVEN
        EventSequence sequence =
                new EventSequence(Optional.of(resumeAfter).filter(id -> !id.isEmpty()));

        // WHEN
        String accepted = accept(sequence, events);

        // THEN
        assertThat(accepted).isEqualTo(expected);
        assertThat(sequence.violation().isEmpty()).isEqualTo(expected.equals(events));
    }

    @Test
    void should_accept_nothing_after_a_violation_until_another_endpoint_continues() {
        // GIVEN
        accept(mSequence, "id: 1\n\nid: 1\n\n");

        // WHEN
        String ofSameEndpoint = accept(mSequence, "id: 2\n\n");
        mSequence.startAttempt();
        String ofNextEndpoint = accept(mSequence, "id: 2\n\n");

        // THEN
        assertThat(ofSameEndpoint).isEmpty();
        assertThat(ofNextEndpoint).isEqualTo("id: 2\n\n");
    }

    @Test
    void should_state_the_last_accepted_event() {
        accept(mSequence, "id: 1\n\nid: 7\ndata: a\n\n: comment\n\nid: 3\n\n");
        assertThat(mSequence.lastEventId()).contains("7");
        assertThat(mSequence.violation()).contains("event 3 follows event 7");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n"})
    void should_state_the_last_event_of_a_stream_that_arrives_in_parts(String lineEnd) {
        // GIVEN
        EventSplitter splitter = new EventSplitter();
        String stream = "id: 1|,data: a|,|,id: 2|,data: b|,|,".replace("|,", lineEnd);

        // WHEN
        for (byte part : stream.getBytes(StandardCharsets.UTF_8)) {
            mSequence.accept(splitter.feed(Unpooled.wrappedBuffer(new byte[] {part})));
        }

        // THEN
        assertThat(mSequence.lastEventId()).contains("2");
        assertThat(mSequence.violation()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "': version 1\n\n', true",
        "'id: 1\ndata: a\n\n', true",
        "'data: a\n\n', false",
        "'id: 1\ndata: a\n\ndata: b\n\n', false",
        "'data: a\n\nid: 2\ndata: b\n\n', true",
    })
    void should_tell_whether_another_endpoint_can_continue(String events, boolean expected) {
        accept(mSequence, events);
        assertThat(mSequence.isContinuable()).isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(ints = {18, 19, 40})
    void should_accept_long_identifiers(int digits) {
        String id = "9".repeat(digits);
        assertThat(accept(mSequence, "id: " + id + "\n\n")).isNotEmpty();
        assertThat(mSequence.lastEventId()).contains(id);
    }

    private static String accept(EventSequence sequence, String events) {
        byte[] bytes = events.getBytes(StandardCharsets.UTF_8);
        int accepted = sequence.accept(Unpooled.wrappedBuffer(bytes));
        return new String(bytes, 0, accepted, StandardCharsets.UTF_8);
    }
}
