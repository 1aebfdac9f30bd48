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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a stream that reaches its caller as complete although its endpoint broke it off.
 */
class BrokenOffStreamTest {
    private static final String FRAMED = "Transfer-Encoding: chunked";
    private static final String UNFRAMED = "Other: value";

    private final AnswerWriter mWriter =
            new AnswerWriter(
                    new RecordingCaller(),
                    new StatusDialect(),
                    true,
                    new EventSequence(Optional.empty()));

    @ParameterizedTest(name = "{0}, [{1}]")
    @CsvSource({
        FRAMED + ", 'id: 1\n\n', false",
        UNFRAMED + ", 'id: 1\n\n', false",
        FRAMED + ", 'id: 1\n\nid: 2\nda', true",
        UNFRAMED + ", 'id: 1\n\nid: 2\nda', true",
        UNFRAMED + ", 'id: 1\n\nid: 2\n', true",
        UNFRAMED + ", 'da', true",
        UNFRAMED + ", '', true",
        FRAMED + ", '', false",
    })
    void should_tell_whether_a_stream_that_ended_was_broken_off(
            String framing, String events, boolean expected) {
        // GIVEN
        mWriter.head(head(framing));

        // WHEN
        ByteBuf content = Unpooled.copiedBuffer(events, StandardCharsets.UTF_8);
        mWriter.content(content);

        // THEN
        assertThat(mWriter.isBrokenOff()).isEqualTo(expected);
    }

    @ParameterizedTest(name = "{0}, [{1}]")
    @CsvSource({
        UNFRAMED + ", 'id: 1\n\n', true",
        UNFRAMED + ", 'id: 1\n\nid: 2\nda', true",
        UNFRAMED + ", '1a\r\nid: 1\n\n\r\n0\r\n\r\n', true",
        UNFRAMED + ", '', true",
        FRAMED + ", 'id: 1\n\n', false",
        "Content-Length: 7, 'id: 1\n\n', false",
    })
    void should_not_take_a_body_for_whole_when_neither_framing_nor_events_tell_its_end(
            String framing, String body, boolean expected) {
        // GIVEN a head of a stream that lost its content type
        String[] field = framing.split(": ");
        mWriter.head(head(200, new DefaultHttpHeaders().set(field[0], field[1])));

        // WHEN
        mWriter.content(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));

        // THEN
        assertThat(mWriter.isBrokenOff()).isEqualTo(expected);
    }

    @Test
    void should_take_an_unframed_body_of_a_route_without_streams_for_whole() {
        // GIVEN
        AnswerWriter writer =
                new AnswerWriter(
                        new RecordingCaller(),
                        new StatusDialect(),
                        false,
                        new EventSequence(Optional.empty()));
        writer.head(head(200, new DefaultHttpHeaders()));

        // WHEN
        writer.content(Unpooled.copiedBuffer("text", StandardCharsets.UTF_8));

        // THEN
        assertThat(writer.isBrokenOff()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 404})
    void should_take_an_answer_without_a_body_or_a_rejection_for_whole(int status) {
        // WHEN
        mWriter.head(head(status, new DefaultHttpHeaders()));

        // THEN
        assertThat(mWriter.isBrokenOff()).isFalse();
    }

    @ParameterizedTest(name = "{0}, {1}: {2}")
    @CsvSource({
        "200, text/event-stream, false",
        "200, text/plain, true",
        "404, text/plain, true",
        "404, text/event-stream, true",
        "500, text/plain, false",
        "503, text/plain, false",
    })
    void should_go_on_only_with_events_once_events_were_forwarded(
            int status, String type, boolean expected) {
        // GIVEN a stream that began and broke off
        mWriter.head(head(FRAMED));
        mWriter.content(Unpooled.copiedBuffer("id: 1\n\n", StandardCharsets.UTF_8));

        // WHEN the next endpoint answers; a failure or a refusal does not end the answer
        mWriter.head(
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        new DefaultHttpHeaders().set("Content-Type", type)));

        // THEN
        assertThat(mWriter.contradictsStart()).isEqualTo(expected);
    }

    private static HttpResponse head(String header) {
        String[] field = header.split(": ");
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Content-Type", "text/event-stream")
                        .set(field[0], field[1]);
        return head(200, headers);
    }

    private static HttpResponse head(int status, HttpHeaders headers) {
        return new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
    }
}
