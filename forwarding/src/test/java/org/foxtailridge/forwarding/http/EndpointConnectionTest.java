package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers that are taken for complete or passed to the wrong request: truncated
 * bodies, late answers to earlier requests, and unexpected bytes on a reused connection.
 */
class EndpointConnectionTest {
    private static final String MATCHING_ANSWER =
            "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok";
    private static final String OTHER_ANSWER =
            "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong";

    private final List<String> mPoolEvents = new ArrayList<>();
    private final List<String> mEvents = new ArrayList<>();
    private Consumer<Boolean> mCheck = accepting -> mEvents.add("not checked");
    private final EndpointConnection mConnection =
            new EndpointConnection(
                    new EndpointConnection.Owner() {
                        @Override
                        public void becameIdle(EndpointConnection connection) {
                            mPoolEvents.add("free");
                        }

                        @Override
                        public void checkAccepting(Consumer<Boolean> result) {
                            mCheck = result;
                        }

                        @Override
                        public void closed(EndpointConnection connection) {
                            mPoolEvents.add("closed");
                        }
                    },
                    4_000);
    private final EmbeddedChannel mChannel = new EmbeddedChannel();

    @BeforeEach
    void connect() {
        mConnection.addTo(mChannel.pipeline(), new HttpDecoderConfig().setValidateHeaders(false));
    }

    @Test
    void should_become_idle_after_a_complete_answer() {
        start();
        receive(MATCHING_ANSWER);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mPoolEvents).containsExactly("free");
    }

    @Test
    void should_skip_the_answer_to_an_earlier_request_and_close_after_its_own() {
        start();
        receive(OTHER_ANSWER + MATCHING_ANSWER);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mPoolEvents).containsExactly("closed");
    }

    @Test
    void should_close_when_bytes_arrive_without_a_request() {
        start();
        receive(MATCHING_ANSWER);
        receive(OTHER_ANSWER);
        assertThat(mChannel.isActive()).isFalse();
        assertThat(mEvents).doesNotContain("wrong");
    }

    @Test
    void should_close_when_bytes_follow_a_complete_answer() {
        start();
        receive(MATCHING_ANSWER + OTHER_ANSWER);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mChannel.isActive()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"true, complete", "false, failed BROKEN"})
    void should_complete_an_unframed_body_only_if_the_endpoint_is_still_there(
            boolean accepting, String expected) {
        // GIVEN an answer that ends with its connection, without a reset
        start();
        receive("HTTP/1.1 200 OK\r\nId: own\r\n\r\nall");
        mChannel.close();
        assertThat(mEvents).containsExactly("head 200", "all");

        // WHEN
        mCheck.accept(accepting);

        // THEN
        assertThat(mEvents).containsExactly("head 200", "all", expected);
    }

    @Test
    void should_not_call_the_listener_when_it_is_cancelled_during_the_check() {
        start();
        receive("HTTP/1.1 200 OK\r\nId: own\r\n\r\nall");
        mChannel.close();
        mConnection.cancel();
        mCheck.accept(true);
        assertThat(mEvents).containsExactly("head 200", "all");
    }

    @Test
    void should_fail_an_unframed_body_when_the_connection_is_reset() {
        start();
        receive("HTTP/1.1 200 OK\r\nId: own\r\n\r\npart");
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        assertThat(mEvents).contains("failed BROKEN").doesNotContain("complete");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9\r\n\r\npart",
                "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart",
                "HTTP/1.1 200 OK\r\nId: own",
                "",
            })
    void should_fail_a_truncated_answer(String bytes) {
        start();
        receive(bytes);
        mChannel.close();
        assertThat(mEvents).contains("failed BROKEN").doesNotContain("complete");
    }

    @ParameterizedTest
    @ValueSource(strings = {"rubbish\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "\u0000\u0001\r\n\r\n"})
    void should_fail_when_the_bytes_are_not_http(String bytes) {
        start();
        receive(bytes);
        mChannel.close();
        assertThat(mEvents).doesNotContain("complete").contains("failed BROKEN");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\nSeal: s",
                "HTTP/1.1 200 OK\r\nSeal: s\r\n",
                "HTTP/1.1 200 OK\r\nSeal",
                "HTTP/1.1 200 OK\r\nId",
                "HT",
            })
    void should_not_join_the_start_of_a_late_answer_with_its_own(String start) {
        // WHEN the start of another answer arrives before the answer, which is a failure
        start();
        receive(start);
        receive("HTTP/1.1 500 Failed\r\nId: own\r\nContent-Length: 2\r\n\r\nno");
        mChannel.close();

        // THEN it does not become a success
        assertThat(mEvents).doesNotContain("head 200", "complete").contains("failed BROKEN");
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n", "H", "\r\n", OTHER_ANSWER})
    void should_close_when_any_byte_arrives_without_a_request(String bytes) {
        start();
        receive(MATCHING_ANSWER);
        receive(bytes);
        assertThat(mChannel.isActive()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n", "H", "\r\n", OTHER_ANSWER})
    void should_not_be_reused_when_any_byte_follows_a_complete_answer(String bytes) {
        start();
        receive(MATCHING_ANSWER + bytes);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mPoolEvents).containsExactly("closed");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno",
            })
    void should_fail_when_an_answer_names_no_request(String answer) {
        start();
        receive(answer + MATCHING_ANSWER);
        assertThat(mEvents).containsExactly("failed BROKEN");
        assertThat(mChannel.isActive()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "chunke",
                "",
                "gzip",
                "gzip, chunked",
                "chunked, gzip",
                "chunked\r\nTransfer-Encoding: gzip",
                "chunked\r\nTransfer-Encoding: chunked",
            })
    void should_fail_when_the_body_has_a_transfer_coding_that_was_not_asked_for(String coding) {
        // WHEN
        start();
        receive(
                "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: "
                        + coding
                        + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        mChannel.close();

        // THEN
        assertThat(mEvents).containsExactly("failed BROKEN");
    }

    @ParameterizedTest
    @ValueSource(strings = {"chunked", "Chunked", " chunked "})
    void should_read_a_body_in_chunks(String coding) {
        start();
        receive("HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: " + coding + "\r\n\r\n");
        receive("2\r\nok\r\n0\r\n\r\n");
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mPoolEvents).containsExactly("free");
    }

    @Test
    void should_read_the_answer_to_a_request_for_the_head_only() {
        mConnection.start(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.HEAD, "/"),
                new Recorder());
        mChannel.releaseOutbound();
        receive("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\n");
        assertThat(mEvents).containsExactly("head 200", "complete");
        assertThat(mPoolEvents).containsExactly("free");
    }

    @Test
    void should_skip_an_interim_answer() {
        start();
        receive("HTTP/1.1 100 Continue\r\n\r\n" + MATCHING_ANSWER);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
    }

    @Test
    void should_close_after_an_answer_with_connection_close() {
        start();
        receive("HTTP/1.1 200 OK\r\nId: own\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        assertThat(mEvents).contains("complete");
        assertThat(mPoolEvents).containsExactly("closed");
    }

    @Test
    void should_not_call_the_listener_after_a_cancellation() {
        start();
        mConnection.cancel();
        assertThat(mEvents).isEmpty();
        assertThat(mChannel.isActive()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1_600})
    void should_be_reusable_until_shortly_before_the_timeout_of_the_endpoint(long idle) {
        start();
        receive(
                "HTTP/1.1 200 OK\r\nId: own\r\nKeep-Alive: timeout=2\r\n"
                        + "Content-Length: 2\r\n\r\nok");
        mConnection.setIdleSince(0);
        assertThat(mConnection.isReusable(idle, 60_000)).isTrue();
        assertThat(mConnection.isReusable(1_700, 60_000)).isFalse();
    }

    private void start() {
        mConnection.start(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                new Recorder());
        mChannel.releaseOutbound();
    }

    private void receive(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8));
    }

    private final class Recorder implements ExchangeListener {
        @Override
        public AnswerMatch match(HttpResponse head) {
            String id = head.headers().get("Id", "");
            if (id.isEmpty()) {
                return AnswerMatch.UNIDENTIFIED;
            }
            return id.equals("own") ? AnswerMatch.OWN : AnswerMatch.OTHER_REQUEST;
        }

        @Override
        public void head(HttpResponse head) {
            mEvents.add("head " + head.status().code());
        }

        @Override
        public void content(ByteBuf content) {
            mEvents.add(content.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void complete() {
            mEvents.add("complete");
        }

        @Override
        public void failed(AttemptFailure failure, String reason) {
            mEvents.add("failed " + failure);
        }
    }
}
