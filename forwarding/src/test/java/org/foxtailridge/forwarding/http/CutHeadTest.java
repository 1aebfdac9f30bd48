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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an answer with a short or empty body that is framed as whole: its endpoint stopped
 * inside the head, at any byte, and closed the connection or went on with another answer.
 */
class CutHeadTest {
    private static final String FAILURE =
            "HTTP/1.1 500 Failed\r\nId: own\r\nContent-Length: 2\r\n\r\nno";
    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\nId: own\r\nSeal: next\r\nContent-Length: 2\r\n\r\nok";
    private static final String LATE_SUCCESS =
            "HTTP/1.1 200 OK\r\nId: other\r\nSeal: other\r\nContent-Length: 5\r\n\r\nwrong";

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_fail_when_the_endpoint_closes_inside_a_head(Head head) {
        for (int cut = 0; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(head.start(cut));
            exchange.mChannel.close();
            exchange.expectFailure(head, cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_fail_when_the_endpoint_resets_the_connection_inside_a_head(Head head) {
        for (int cut = 0; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(head.start(cut));
            exchange.mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            exchange.expectFailure(head, cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_fail_when_a_head_that_arrives_byte_by_byte_is_cut(Head head) {
        for (int cut = 0; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            for (int index = 0; index < cut; index++) {
                exchange.receive(head.mBytes.substring(index, index + 1));
            }
            exchange.mChannel.close();
            exchange.expectFailure(head, cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_fail_when_the_head_of_a_late_answer_is_cut(Head head) {
        for (int cut = 0; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(head.start(cut).replace("Id: own", "Id: other"));
            exchange.mChannel.close();
            exchange.expectFailure(head, cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_fail_when_a_head_behind_a_skipped_answer_is_cut(Head head) {
        for (int cut = 0; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(LATE_SUCCESS + head.start(cut));
            exchange.mChannel.close();
            exchange.expectFailure(head, cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_not_turn_a_failure_behind_a_cut_head_into_a_success(Head head) {
        for (int cut = 1; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(head.start(cut) + FAILURE);
            exchange.mChannel.close();
            exchange.expectNoSuccess(head, cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_not_join_a_cut_head_with_an_answer_to_the_same_request(Head head) {
        for (int cut = 1; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(head.start(cut) + SUCCESS);
            exchange.mChannel.close();
            if (!head.isBetweenHeads(cut)) {
                exchange.expectNoSuccess(head, cut);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_not_join_a_cut_head_with_a_late_answer(Head head) {
        for (int cut = 1; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(head.start(cut) + LATE_SUCCESS);
            exchange.mChannel.close();
            exchange.expectNoSuccess(head, cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Head.class)
    void should_not_keep_a_cut_head_for_the_next_exchange(Head head) {
        for (int cut = 1; cut < head.length(); cut++) {
            Exchange exchange = new Exchange();
            exchange.receive(SUCCESS);
            assertThat(exchange.mEvents).containsExactly("head 200", "ok", "complete");
            exchange.receive(head.start(cut));
            assertThat(exchange.mChannel.isActive()).as(head.describe(cut)).isFalse();
        }
    }

    /** Heads of answers; the last bytes of each end its head. */
    private enum Head {
        LENGTH("HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 120\r\n\r\n"),
        LENGTH_FIRST("HTTP/1.1 200 OK\r\nContent-Length: 120\r\nId: own\r\nSeal: s\r\n\r\n"),
        NO_LENGTH("HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"),
        CHUNKED("HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"),
        CHUNKED_FIRST(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: own\r\nSeal: s\r\n\r\n"),
        UNFRAMED(
                "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Type: text/plain\r\n"
                        + "Connection: close\r\n\r\n"),
        HTTP_1_0("HTTP/1.0 200 OK\r\nId: own\r\nSeal: s\r\nContent-Type: text/plain\r\n\r\n"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\nId: own\r\nSeal: s\r\n\r\n"),
        INTERIM(
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 120\r\n\r\n"),
        INTERIM_WITH_HEADERS(
                "HTTP/1.1 103 Early Hints\r\nId: own\r\nLink: </a>\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\n\r\n"),
        FOLDED(
                "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nOther: first\r\n  second\r\n\tthird\r\n"
                        + "Content-Length: 120\r\n\r\n"),
        LINE_FEEDS("HTTP/1.1 200 OK\nId: own\nSeal: s\nContent-Length: 120\n\n"),
        NO_REASON("HTTP/1.1 200\r\nId: own\r\nSeal: s\r\n\r\n");

        private final String mInterim;
        private final String mBytes;

        Head(String bytes) {
            this("", bytes);
        }

        Head(String interim, String bytes) {
            mInterim = interim;
            mBytes = interim + bytes;
        }

        private int length() {
            return mBytes.length();
        }

        private String start(int length) {
            return mBytes.substring(0, length);
        }

        private boolean isBetweenHeads(int cut) {
            return cut == mInterim.length();
        }

        private String describe(int cut) {
            String bytes = start(cut).replace("\r", "\\r").replace("\n", "\\n");
            return "%s, cut after %d bytes: [%s]".formatted(this, cut, bytes);
        }
    }

    private static final class Exchange implements ExchangeListener, EndpointConnection.Owner {
        private final EmbeddedChannel mChannel = new EmbeddedChannel();
        private final List<String> mEvents = new ArrayList<>();

        private Exchange() {
            EndpointConnection connection = new EndpointConnection(this, 4_000);
            connection.addTo(
                    mChannel.pipeline(), new HttpDecoderConfig().setValidateHeaders(false));
            connection.start(
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), this);
            mChannel.releaseOutbound();
        }

        private void receive(String bytes) {
            if (mChannel.isActive()) {
                mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8));
            }
        }

        private void expectFailure(Head head, int cut) {
            assertThat(mEvents).as(head.describe(cut)).containsExactly("failed BROKEN");
            assertThat(mChannel.isActive()).as(head.describe(cut)).isFalse();
        }

        private void expectNoSuccess(Head head, int cut) {
            assertThat(mEvents).as(head.describe(cut)).doesNotContain("head 200", "head 204");
        }

        @Override
        public AnswerMatch match(HttpResponse head) {
            List<String> ids = head.headers().getAll("Id");
            if (ids.size() != 1) {
                return AnswerMatch.UNIDENTIFIED;
            }
            return ids.get(0).equals("own") ? AnswerMatch.OWN : AnswerMatch.OTHER_REQUEST;
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

        @Override
        public void becameIdle(EndpointConnection connection) {
            assertThat(mChannel.isActive()).isTrue();
        }

        @Override
        public void checkAccepting(Consumer<Boolean> result) {
            result.accept(true);
        }

        @Override
        public void closed(EndpointConnection connection) {
            assertThat(mChannel.isActive()).isFalse();
        }
    }
}
