package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.http.CallerListener;

/** Caller for tests that records the body of the answer. */
final class RecordingCaller implements CallerExchange {
    private final StringBuilder mWritten = new StringBuilder();

    /** Returns the body as far as it was written. */
    String written() {
        return mWritten.toString();
    }

    @Override
    public HttpRequest head() {
        throw new AssertionError("expected no use of the request");
    }

    @Override
    public ByteBuf body() {
        return Unpooled.EMPTY_BUFFER;
    }

    @Override
    public long arrivedMilliseconds() {
        return 0;
    }

    @Override
    public void setListener(CallerListener listener) {}

    @Override
    public void begin(int status, String reason, HttpHeaders headers, OptionalLong length) {}

    @Override
    public void write(ByteBuf content) {
        mWritten.append(content.toString(StandardCharsets.UTF_8));
        content.release();
    }

    @Override
    public void flush() {}

    @Override
    public void end() {}

    @Override
    public void abort() {}

    @Override
    public boolean isWritable() {
        return true;
    }
}
