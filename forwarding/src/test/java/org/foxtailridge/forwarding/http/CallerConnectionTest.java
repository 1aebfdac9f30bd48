package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerConnectionTest {
    private static final String REQUEST =
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(10));
    private final Handler mHandler = new Handler();
    private EmbeddedChannel mChannel;
    private CallerConnection mConnection;

    @BeforeEach
    void open() {
        mChannel = new EmbeddedChannel();
        mConnection = new CallerConnection(mChannel, mHandler, mClock, closed -> {});
        HttpDecoderConfig config =
                new HttpDecoderConfig().setMaxInitialLineLength(200).setMaxHeaderSize(300);
        mChannel.pipeline()
                .addLast(
                        new ByteWatch(mConnection, mClock),
                        new HttpServerCodec(config),
                        mConnection);
    }

    @Test
    void should_hand_a_request_over_once_its_body_is_whole() {
        receive(REQUEST.substring(0, REQUEST.length() - 1));
        assertThat(mHandler.mExchanges).isEmpty();
        receive("i");
        assertThat(mHandler.mExchanges).hasSize(1);
        assertThat(mHandler.last().body().toString(StandardCharsets.UTF_8)).isEqualTo("hi");
    }

    @Test
    void should_answer_pipelined_requests_one_after_the_other() {
        receive(REQUEST + REQUEST);
        assertThat(mHandler.mExchanges).hasSize(1);
        answer("first");
        assertThat(mHandler.mExchanges).hasSize(2);
        answer("second");
        assertThat(sent()).containsSubsequence("first", "second");
        assertThat(mChannel.isActive()).isTrue();
    }

    @Test
    void should_end_a_body_of_unknown_length_with_an_empty_chunk_only_when_it_is_whole() {
        receive(REQUEST);
        CallerExchange exchange = mHandler.last();
        exchange.begin(200, "OK", new DefaultHttpHeaders(), OptionalLong.empty());
        exchange.write(Unpooled.copiedBuffer("part", StandardCharsets.UTF_8));
        exchange.flush();
        exchange.abort();
        assertThat(sent()).contains("part").doesNotContain("\r\n0\r\n");
        assertThat(mChannel.isActive()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -2\r\n\r\nhi",
                "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi",
                "POST /a HTTP/1.1\r\n Host: h\r\n\r\n",
            })
    void should_take_no_request_whose_frame_can_be_read_in_two_ways(String bytes) {
        receive(bytes);
        if (!mHandler.mExchanges.isEmpty()) {
            answer("ok");
        }
        assertThat(mHandler.mExchanges).hasSizeLessThanOrEqualTo(1);
        assertThat(mHandler.mExchanges).noneMatch(exchange -> exchange.head().uri().equals("/b"));
    }

    @Test
    void should_refuse_a_head_that_is_too_large() {
        receive("GET /a HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(400) + "\r\n\r\n");
        assertThat(sent()).startsWith("HTTP/1.1 431");
        assertThat(mHandler.mRefused).containsExactly(ErrorKind.HEAD_TOO_LARGE);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n",
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999\r\n\r\n",
            })
    void should_refuse_a_body_that_says_it_is_too_large(String bytes) {
        receive(bytes);
        assertThat(sent()).startsWith("HTTP/1.1 413");
        assertThat(mHandler.mExchanges).isEmpty();
    }

    @Test
    void should_refuse_a_chunked_body_that_becomes_too_large() {
        receive("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        receive("7d0\r\n" + "x".repeat(2_000) + "\r\n");
        assertThat(sent()).startsWith("HTTP/1.1 413");
    }

    @Test
    void should_close_a_head_that_does_not_become_whole_in_time() {
        receive("POST /a HT");
        advance(2_900);
        assertThat(mChannel.isActive()).isTrue();
        advance(200);
        assertThat(sent()).startsWith("HTTP/1.1 408");
    }

    @Test
    void should_close_an_idle_connection_after_the_idle_time_and_not_before() {
        receive(REQUEST);
        answer("ok");
        advance(14_900);
        assertThat(mChannel.isActive()).isTrue();
        advance(200);
        assertThat(mChannel.isActive()).isFalse();
    }

    @Test
    void should_not_close_a_connection_whose_request_is_being_answered() {
        receive(REQUEST);
        advance(60_000);
        assertThat(mChannel.isActive()).isTrue();
    }

    @Test
    void should_tell_that_the_caller_left() {
        receive(REQUEST);
        List<String> told = new ArrayList<>();
        mHandler.last()
                .setListener(
                        new CallerListener() {
                            @Override
                            public void disconnected() {
                                told.add("left");
                            }

                            @Override
                            public void writabilityChanged(boolean writable) {}
                        });
        mChannel.close();
        assertThat(told).containsExactly("left");
    }

    @Test
    void should_close_after_the_answer_while_stopping() {
        receive(REQUEST);
        mHandler.mStopping = true;
        answer("ok");
        assertThat(sent()).containsIgnoringCase("connection: close");
        assertThat(mChannel.isActive()).isFalse();
    }

    @Test
    void should_close_after_an_answer_that_began_before_the_stop() {
        // GIVEN an answer whose head does not say that the connection is closed
        receive(REQUEST);
        CallerExchange exchange = mHandler.last();
        exchange.begin(200, "OK", new DefaultHttpHeaders(), OptionalLong.empty());
        // WHEN
        mHandler.mStopping = true;
        exchange.end();
        // THEN no further request is taken on the connection
        assertThat(mChannel.isActive()).isFalse();
    }

    private void receive(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8));
    }

    private void advance(long milliseconds) {
        mClock.advance(Duration.ofMillis(milliseconds));
        mConnection.checkTimes(mClock.millis());
    }

    private void answer(String body) {
        CallerExchange exchange = mHandler.last();
        exchange.begin(200, "OK", new DefaultHttpHeaders(), OptionalLong.of(body.length()));
        exchange.write(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        exchange.end();
    }

    private String sent() {
        StringBuilder sent = new StringBuilder();
        ByteBuf bytes = mChannel.readOutbound();
        while (bytes != null) {
            sent.append(bytes.toString(StandardCharsets.UTF_8));
            bytes.release();
            bytes = mChannel.readOutbound();
        }
        return sent.toString();
    }

    private static final class Handler implements CallerHandler {
        private final List<CallerExchange> mExchanges = new ArrayList<>();
        private final List<ErrorKind> mRefused = new ArrayList<>();
        private boolean mStopping;

        private CallerExchange last() {
            return mExchanges.get(mExchanges.size() - 1);
        }

        @Override
        public void handle(CallerExchange exchange) {
            mExchanges.add(exchange);
        }

        @Override
        public CallerLimits limits() {
            return new CallerLimits(300, 1_000, Duration.ofSeconds(3), Duration.ofSeconds(15));
        }

        @Override
        public boolean isStopping() {
            return mStopping;
        }

        @Override
        public void refused(ErrorKind kind, String reason) {
            mRefused.add(kind);
        }
    }
}
