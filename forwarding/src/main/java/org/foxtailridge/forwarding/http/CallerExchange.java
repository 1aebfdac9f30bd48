package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.OptionalLong;

/** One request of a caller and its answer. Confined to the event loop of the connection. */
public interface CallerExchange {
    /** Returns the request line and the headers. */
    HttpRequest head();

    /** Returns the complete body of the request, which is released when the exchange ends. */
    ByteBuf body();

    /** Returns when the head arrived, in milliseconds since the epoch. */
    long arrivedMilliseconds();

    /** Sets the listener for events of the caller's connection. */
    void setListener(CallerListener listener);

    /**
     * Starts the answer.
     *
     * @param status status code
     * @param reason reason phrase
     * @param headers headers without those that frame the body, which the exchange adds
     * @param length length of the body in bytes; empty when it is unknown
     */
    void begin(int status, String reason, HttpHeaders headers, OptionalLong length);

    /** Writes bytes of the body without flushing; the exchange takes ownership of the buffer. */
    void write(ByteBuf content);

    /** Flushes what was written since the last flush. */
    void flush();

    /** Completes the answer; without effect after the end of the exchange. */
    void end();

    /** Closes the connection, so that the caller can't take a partial answer for a complete one. */
    void abort();

    /** Returns whether the write buffer accepts more bytes: its high water mark isn't reached. */
    boolean isWritable();
}
