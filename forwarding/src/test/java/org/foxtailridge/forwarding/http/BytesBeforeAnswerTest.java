package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an endpoint that sends bytes without end in front of an answer, which a node read
 * and dropped until the request's deadline.
 */
class BytesBeforeAnswerTest {
    private static final int READ_BYTES = 64 * 1024;
    private static final int MAXIMUM_BYTES = 8 * 1024 * 1024;
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";
    private static final String OTHER = "HTTP/1.1 200 OK\r\nId: other\r\n";
    private static final String WHOLE_OTHER = OTHER + "Content-Length: 2\r\n\r\nno";
    private static final String OWN = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok";

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final Recorder mRecorder = new Recorder();

    @ParameterizedTest
    @CsvSource({
        "'', '\r\n'",
        "'', ' '",
        "'', '" + INTERIM + "'",
        "'', '" + WHOLE_OTHER + "'",
        "'" + OTHER + "Transfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'",
        "'" + OTHER + "Content-Length: 999999999999\r\n\r\n', 'x'",
        "'" + OTHER + "\r\n', 'x'",
        "'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n', 'x'",
    })
    void should_fail_when_bytes_that_belong_to_no_answer_do_not_end(String start, String repeated) {
        // GIVEN
        start();
        receive(start);

        // WHEN
        String bytes = repeated.repeat(READ_BYTES / repeated.length());
        for (int sent = 0; sent < MAXIMUM_BYTES && mChannel.isActive(); sent += READ_BYTES) {
            receive(bytes);
        }

        // THEN
        assertThat(mRecorder.mFailure).contains(AttemptFailure.BROKEN);
        assertThat(mChannel.isActive()).isFalse();
    }

    @Test
    void should_read_the_answer_behind_a_few_others() {
        // WHEN
        start();
        receive((INTERIM + WHOLE_OTHER).repeat(4) + OWN);

        // THEN
        assertThat(mRecorder.mCompleted).isTrue();
    }

    @Test
    void should_read_a_long_answer_behind_bytes_of_others() {
        // GIVEN
        start();
        receive(WHOLE_OTHER + "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: " + MAXIMUM_BYTES);
        receive("\r\n\r\n");

        // WHEN
        for (int sent = 0; sent < MAXIMUM_BYTES; sent += READ_BYTES) {
            receive("x".repeat(READ_BYTES));
        }

        // THEN
        assertThat(mRecorder.mCompleted).isTrue();
    }

    private void start() {
        EndpointConnection connection =
                new EndpointConnection(
                        new EndpointConnection.Owner() {
                            @Override
                            public void becameIdle(EndpointConnection idle) {}

                            @Override
                            public void checkAccepting(Consumer<Boolean> result) {
                                result.accept(true);
                            }

                            @Override
                            public void closed(EndpointConnection closed) {}
                        },
                        4_000);
        connection.addTo(mChannel.pipeline(), new HttpDecoderConfig().setValidateHeaders(false));
        connection.start(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), mRecorder);
        mChannel.releaseOutbound();
    }

    private void receive(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, ISO_8859_1));
    }

    private static final class Recorder implements ExchangeListener {
        private Optional<AttemptFailure> mFailure = Optional.empty();
        private boolean mCompleted;

        @Override
        public AnswerMatch match(HttpResponse head) {
            boolean own = head.headers().contains("Id", "own", false);
            return own ? AnswerMatch.OWN : AnswerMatch.OTHER_REQUEST;
        }

        @Override
        public void head(HttpResponse head) {}

        @Override
        public void content(ByteBuf content) {}

        @Override
        public void complete() {
            mCompleted = true;
        }

        @Override
        public void failed(AttemptFailure failure, String reason) {
            mFailure = Optional.of(failure);
        }
    }
}
