package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.request.AttemptFailure;

/**
 * Calls with short bodies, each with a time limit; a call without an answer in time closes its
 * connection. Futures complete on the event loop.
 *
 * <pre>{@code
 * calls.call(address, HttpMethod.GET, "/report", new byte[0], Duration.ofMillis(500))
 *         .thenAccept(answer -> ...);
 * }</pre>
 */
public final class HttpCalls {
    // Bounds what one answer can make this process keep.
    private static final int LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;

    private final EventLoop mLoop;
    private final EndpointConnections mConnections;
    private final int mConnectionsPerAddress;

    /** Creates calls over the connections. */
    public HttpCalls(EventLoop loop, EndpointConnections connections, int connectionsPerAddress) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mConnections = Objects.requireNonNull(connections, "connections");
        mConnectionsPerAddress = connectionsPerAddress;
    }

    /** Calls; fails with {@link CallFailedException} when no whole answer comes in time. */
    public CompletableFuture<HttpAnswer> call(
            EndpointAddress address,
            HttpMethod method,
            String target,
            byte[] body,
            Duration timeout) {
        return call(address, method, target, "application/json", body, timeout);
    }

    /** Calls with a body of the given type. */
    public CompletableFuture<HttpAnswer> call(
            EndpointAddress address,
            HttpMethod method,
            String target,
            String contentType,
            byte[] body,
            Duration timeout) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address.toString());
        if (body.length > 0 || method.equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        return call(address, request, timeout);
    }

    /** Sends a request; it is released by this method. */
    public CompletableFuture<HttpAnswer> call(
            EndpointAddress address, FullHttpRequest request, Duration timeout) {
        Call call = new Call(address, request.uri());
        call.mExchange = mConnections.start(address, mConnectionsPerAddress, true, request, call);
        call.mTimer = mLoop.schedule(call::expire, timeout.toMillis(), TimeUnit.MILLISECONDS);
        return call.mFuture;
    }

    private static final class Call implements ExchangeListener {
        private final EndpointAddress mAddress;
        private final String mTarget;
        private final CompletableFuture<HttpAnswer> mFuture = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private EndpointExchange mExchange;
        private ScheduledFuture<?> mTimer;
        private int mStatus;

        private Call(EndpointAddress address, String target) {
            mAddress = address;
            mTarget = target;
        }

        @Override
        public boolean matches(HttpResponse head) {
            return true;
        }

        @Override
        public void head(HttpResponse head) {
            mStatus = head.status().code();
        }

        @Override
        public void content(ByteBuf content) {
            if (mBody.size() + content.readableBytes() > LARGEST_ANSWER_BYTES) {
                mExchange.cancel();
                failed(AttemptFailure.BROKEN, "the answer is too large");
                return;
            }
            byte[] bytes = new byte[content.readableBytes()];
            content.getBytes(content.readerIndex(), bytes);
            mBody.writeBytes(bytes);
        }

        @Override
        public void complete() {
            mTimer.cancel(false);
            mFuture.complete(new HttpAnswer(mStatus, mBody.toByteArray()));
        }

        @Override
        public void failed(AttemptFailure failure, String reason) {
            if (mTimer != null) {
                mTimer.cancel(false);
            }
            mFuture.completeExceptionally(
                    new CallFailedException(mAddress, mTarget, failure, reason));
        }

        private void expire() {
            if (!mFuture.isDone()) {
                boolean sent = mExchange.hasBegun();
                mExchange.cancel();
                failed(sent ? AttemptFailure.SILENT : AttemptFailure.NOT_SENT, "no answer in time");
            }
        }
    }
}
