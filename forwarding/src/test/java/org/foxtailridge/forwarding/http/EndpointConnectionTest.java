package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointConnectionTest {
    private static final String OWN = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok";
    private static final String FOREIGN =
            "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong";

    private final List<String> mOwner = new ArrayList<>();
    private final List<String> mEvents = new ArrayList<>();
    private final EndpointConnection mConnection =
            new EndpointConnection(
                    new EndpointConnection.Owner() {
                        @Override
                        public void free(EndpointConnection connection) {
                            mOwner.add("free");
                        }

                        @Override
                        public void closed(EndpointConnection connection) {
                            mOwner.add("closed");
                        }
                    },
                    4_000);
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(new HttpClientCodec(), mConnection);

    @Test
    void should_carry_another_exchange_after_a_whole_answer() {
        start();
        receive(OWN);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mOwner).containsExactly("free");
    }

    @Test
    void should_skip_the_answer_to_an_earlier_request_and_not_be_used_again() {
        start();
        receive(FOREIGN + OWN);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mOwner).containsExactly("closed");
    }

    @Test
    void should_close_on_bytes_that_nobody_asked_for() {
        start();
        receive(OWN);
        receive(FOREIGN);
        assertThat(mChannel.isActive()).isFalse();
        assertThat(mEvents).doesNotContain("wrong");
    }

    @Test
    void should_not_be_used_again_after_an_answer_with_bytes_behind_it() {
        start();
        receive(OWN + FOREIGN);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
        assertThat(mChannel.isActive()).isFalse();
    }

    @Test
    void should_take_a_body_without_a_length_as_whole_when_the_endpoint_closes_in_order() {
        start();
        receive("HTTP/1.1 200 OK\r\nId: own\r\n\r\nall");
        mChannel.close();
        assertThat(mEvents).containsExactly("head 200", "all", "complete");
    }

    @Test
    void should_not_take_a_body_without_a_length_as_whole_when_the_connection_is_reset() {
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
    void should_fail_an_answer_that_is_cut_short(String bytes) {
        start();
        receive(bytes);
        mChannel.close();
        assertThat(mEvents).contains("failed BROKEN").doesNotContain("complete");
    }

    @ParameterizedTest
    @ValueSource(strings = {"rubbish\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "\u0000\u0001\r\n\r\n"})
    void should_fail_what_is_no_answer(String bytes) {
        start();
        receive(bytes);
        mChannel.close();
        assertThat(mEvents).doesNotContain("complete").contains("failed BROKEN");
    }

    @Test
    void should_wait_for_the_answer_behind_an_interim_one() {
        start();
        receive("HTTP/1.1 100 Continue\r\n\r\n" + OWN);
        assertThat(mEvents).containsExactly("head 200", "ok", "complete");
    }

    @Test
    void should_not_be_used_again_when_the_endpoint_says_so() {
        start();
        receive("HTTP/1.1 200 OK\r\nId: own\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        assertThat(mEvents).contains("complete");
        assertThat(mOwner).containsExactly("closed");
    }

    @Test
    void should_tell_nothing_more_once_it_is_cancelled() {
        start();
        mConnection.cancel();
        assertThat(mEvents).isEmpty();
        assertThat(mChannel.isActive()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1_600})
    void should_be_fresh_for_a_little_less_than_the_endpoint_keeps_it(long idle) {
        start();
        receive(
                "HTTP/1.1 200 OK\r\nId: own\r\nKeep-Alive: timeout=2\r\n"
                        + "Content-Length: 2\r\n\r\nok");
        mConnection.idleSince(0);
        assertThat(mConnection.isFresh(idle, 60_000)).isTrue();
        assertThat(mConnection.isFresh(1_700, 60_000)).isFalse();
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
        public boolean matches(HttpResponse head) {
            return !"other".equals(head.headers().get("Id"));
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
