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
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.request.AttemptFailure;

/**
 * HTTP client for calls with short bodies, each with a timeout and a maximum size of its answer. A
 * call that exceeds either, or is cancelled, closes its connection; one that times out also closes
 * the idle connections to its address. Methods are called on the event loop, where the futures also
 * complete.
 *
 * <pre>{@code
 * CallLimits limits = new CallLimits(Duration.ofMillis(500), 65_536);
 * calls.call(address, HttpMethod.GET, "/report", new byte[0], limits).thenAccept(answer -> ...);
 * }</pre>
 */
public final class HttpCalls {
    private final EventLoop mLoop;
    private final EndpointConnections mConnections;
    private final int mConnectionsPerAddress;

    /** Creates a client; the limit of connections applies to each address. */
    public HttpCalls(EventLoop loop, EndpointConnections connections, int connectionsPerAddress) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mConnections = Objects.requireNonNull(connections, "connections");
        mConnectionsPerAddress = connectionsPerAddress;
    }

    /** Sends a JSON body; fails with {@link CallFailedException} without an answer in time. */
    public CompletableFuture<HttpAnswer> call(
            EndpointAddress address,
            HttpMethod method,
            String target,
            byte[] body,
            CallLimits limits) {
        return call(address, method, target, "application/json", body, limits);
    }

    /** Sends a body of the given type; fails like the call of a JSON body. */
    public CompletableFuture<HttpAnswer> call(
            EndpointAddress address,
            HttpMethod method,
            String target,
            String contentType,
            byte[] body,
            CallLimits limits) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address.toString());
        if (body.length > 0 || method.equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        return call(address, request, limits);
    }

    /** Sends a request, of which the client takes ownership; fails like the other calls. */
    public CompletableFuture<HttpAnswer> call(
            EndpointAddress address, FullHttpRequest request, CallLimits limits) {
        Call call = new Call(address, request.uri(), limits.maximumAnswerBytes());
        call.mExchange = mConnections.start(address, mConnectionsPerAddress, true, request, call);
        call.mTimer =
                mLoop.schedule(call::timeOut, limits.timeout().toMillis(), TimeUnit.MILLISECONDS);
        call.mFuture.whenComplete((answer, failure) -> call.closeIfCancelled());
        return call.mFuture;
    }

    private final class Call implements ExchangeListener {
        private final EndpointAddress mAddress;
        private final String mTarget;
        private final int mMaximumAnswerBytes;
        private final CompletableFuture<HttpAnswer> mFuture = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private EndpointExchange mExchange;
        private ScheduledFuture<?> mTimer;
        private int mStatus;

        private Call(EndpointAddress address, String target, int maximumAnswerBytes) {
            mAddress = address;
            mTarget = target;
            mMaximumAnswerBytes = maximumAnswerBytes;
        }

        @Override
        public AnswerMatch match(HttpResponse head) {
            return AnswerMatch.OWN;
        }

        @Override
        public void head(HttpResponse head) {
            mStatus = head.status().code();
        }

        @Override
        public void content(ByteBuf content) {
            if (mBody.size() + content.readableBytes() > mMaximumAnswerBytes) {
                mExchange.cancel();
                failed(
                        AttemptFailure.BROKEN,
                        "the answer is larger than " + mMaximumAnswerBytes + " bytes");
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

        private void closeIfCancelled() {
            if (mFuture.isCancelled()) {
                mTimer.cancel(false);
                mExchange.cancel();
            }
        }

        private void timeOut() {
            if (!mFuture.isDone()) {
                boolean sent = mExchange.hasBegun();
                mExchange.cancel();
                // Connections can go silent together without a reset; new ones may work.
                mConnections.closeIdle(mAddress);
                failed(sent ? AttemptFailure.SILENT : AttemptFailure.NOT_SENT, "no answer in time");
            }
        }
    }
}
