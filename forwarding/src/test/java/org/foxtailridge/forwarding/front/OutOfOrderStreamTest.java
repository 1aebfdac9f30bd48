package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.foxtailridge.forwarding.http.EventSequence;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a stream that reaches its caller with events twice, out of order or of another
 * answer (issue 40, ORDER).
 */
class OutOfOrderStreamTest {
    private final RecordingCaller mCaller = new RecordingCaller();
    private final AnswerWriter mWriter =
            new AnswerWriter(
                    mCaller, new StatusDialect(), true, new EventSequence(Optional.empty()));

    @ParameterizedTest(name = "[{0}] then [{1}]: caller gets [{2}]")
    @CsvSource({
        // The endpoint repeats an event.
        "'id: 1\n\nid: 2\n\n', 'id: 2\n\nid: 3\n\n', 'id: 1\n\nid: 2\n\n'",
        // The endpoint goes back.
        "'id: 1\n\nid: 2\n\n', 'id: 1\n\n', 'id: 1\n\nid: 2\n\n'",
        // A second answer follows a body without a length.
        "'id: 1\n\nid: 2\n\n', 'HTTP/1.1 200 OK\r\nId: own\r\n\r\nid: 3\n\n', 'id: 1\n\nid: 2\n\n'",
        // The lines of chunks are part of the body, as the head does not state chunks.
        "'id: 1\n\n', '7\r\nid: 2\n\n', 'id: 1\n\n'",
    })
    void should_forward_no_event_that_does_not_follow(String first, String rest, String expected) {
        // GIVEN
        mWriter.head(head());
        receive(first);

        // WHEN
        receive(rest);
        receive("id: 9\n\n");

        // THEN
        assertThat(mCaller.written()).isEqualTo(expected);
        assertThat(mWriter.isOutOfOrder()).isTrue();
    }

    @ParameterizedTest(name = "the next endpoint sends [{0}]: caller gets [{1}]")
    @CsvSource({
        "'id: 3\n\nid: 4\n\n', 'id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n', false",
        // It starts from the beginning although it was to resume.
        "'id: 1\n\nid: 2\n\nid: 3\n\n', 'id: 1\n\nid: 2\n\n', true",
        // It repeats the last event that the caller has.
        "'id: 2\n\nid: 3\n\n', 'id: 1\n\nid: 2\n\n', true",
    })
    void should_continue_only_after_the_events_that_the_caller_has(
            String continued, String expected, boolean outOfOrder) {
        // GIVEN an endpoint that breaks off inside its third event
        mWriter.head(head());
        receive("id: 1\n\nid: 2\n\nid: 3");

        // WHEN
        mWriter.head(head());
        receive(continued);

        // THEN
        assertThat(mCaller.written()).isEqualTo(expected);
        assertThat(mWriter.isOutOfOrder()).isEqualTo(outOfOrder);
    }

    private void receive(String events) {
        ByteBuf content = Unpooled.copiedBuffer(events, StandardCharsets.UTF_8);
        mWriter.content(content);
        content.release();
    }

    private static HttpResponse head() {
        HttpHeaders headers = new DefaultHttpHeaders().set("Content-Type", "text/event-stream");
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
    }
}
