package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.foxtailridge.forwarding.http.EventSequence;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stream that is broken off because an empty line follows its last event. */
class SoundStreamTest {
    private final AnswerWriter mWriter =
            new AnswerWriter(
                    new RecordingCaller(),
                    new StatusDialect(),
                    true,
                    new EventSequence(Optional.empty()));

    @ParameterizedTest(name = "[{0}] [{1}]")
    @CsvSource({
        // The format lets any number of empty lines follow an event.
        "'id: 1\ndata: a\n\n', '\n'",
        "'id: 1\r\ndata: a\r\n\r\n', '\r\n'",
        "'id: 1\ndata: a\n\n\n', ''",
    })
    void should_be_complete(String first, String second) {
        // GIVEN
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Content-Type", "text/event-stream")
                        .set("Transfer-Encoding", "chunked");
        mWriter.head(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers));

        // WHEN
        receive(first);
        receive(second);

        // THEN
        assertThat(mWriter.isOutOfOrder()).isFalse();
        assertThat(mWriter.isBrokenOff()).isFalse();
    }

    private void receive(String events) {
        ByteBuf content = Unpooled.copiedBuffer(events, StandardCharsets.UTF_8);
        mWriter.content(content);
        content.release();
    }
}
