package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.OptionalLong;

/**
 * Exchange on a Netty channel of a caller.
 *
 * <p>The end of an unframed answer is the end of its connection. Until such an answer is written,
 * every close of the connection is a reset, whatever causes it: after an orderly close the caller
 * would take a partial answer for a complete one.
 */
final class ChannelExchange implements CallerExchange {
    private static final int ZERO_LINGER_SECONDS = 0;
    private static final int LINGER_DISABLED = -1;

    private final CallerConnection mConnection;
    private final Channel mChannel;
    private final IncomingRequest mRequest;
    private final CallerHandler mHandler;
    private CallerListener mListener;
    private boolean mKeepOpen;
    private boolean mFramed;
    private boolean mEnded;
    private boolean mUnflushed;

    ChannelExchange(
            CallerConnection connection,
            Channel channel,
            IncomingRequest request,
            CallerHandler handler) {
        mConnection = connection;
        mChannel = channel;
        mRequest = request;
        mHandler = handler;
        mKeepOpen = HttpUtil.isKeepAlive(request.head());
    }

    @Override
    public HttpRequest head() {
        return mRequest.head();
    }

    @Override
    public ByteBuf body() {
        return mRequest.body();
    }

    @Override
    public long arrivedMilliseconds() {
        return mRequest.arrivedMilliseconds();
    }

    @Override
    public void setListener(CallerListener listener) {
        mListener = listener;
    }

    @Override
    public void begin(int status, String reason, HttpHeaders headers, OptionalLong length) {
        HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, new HttpResponseStatus(status, reason), headers);
        boolean isHttp10 = mRequest.head().protocolVersion().equals(HttpVersion.HTTP_1_0);
        mFramed = length.isPresent() || !isHttp10;
        if (length.isPresent()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length.getAsLong());
        } else if (mFramed) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        mKeepOpen &= mFramed && !mHandler.isStopping();
        if (!mKeepOpen) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (isHttp10) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
        if (!mFramed) {
            setResetOnClose(true);
        }
        mChannel.write(response);
        mUnflushed = true;
    }

    @Override
    public void write(ByteBuf content) {
        mChannel.write(new DefaultHttpContent(content));
        mUnflushed = true;
    }

    @Override
    public void flush() {
        if (mUnflushed) {
            mUnflushed = false;
            mChannel.flush();
        }
    }

    @Override
    public void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mRequest.release();
        ChannelFuture written = mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!mFramed) {
            written.addListener(result -> setResetOnClose(!result.isSuccess()));
        }
        // The stop may have started after the head of the answer announced keep-alive.
        mConnection.exchangeEnded(written, mKeepOpen && !mHandler.isStopping());
    }

    @Override
    public void abort() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mRequest.release();
        if (!mFramed) {
            setResetOnClose(true);
        }
        mChannel.close();
    }

    @Override
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    private void setResetOnClose(boolean reset) {
        if (mChannel.isActive()) {
            int linger = reset ? ZERO_LINGER_SECONDS : LINGER_DISABLED;
            mChannel.config().setOption(ChannelOption.SO_LINGER, linger);
        }
    }

    void disconnected() {
        if (!mEnded) {
            mEnded = true;
            mRequest.release();
            if (mListener != null) {
                mListener.disconnected();
            }
        }
    }

    void writabilityChanged(boolean writable) {
        if (!mEnded && mListener != null) {
            mListener.writabilityChanged(writable);
        }
    }
}
