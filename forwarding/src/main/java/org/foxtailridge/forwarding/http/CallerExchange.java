package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.OptionalLong;

/** One request of a caller, and its answer. Confined to the thread of its event loop. */
public interface CallerExchange {
    /** Returns the head of the request. */
    HttpRequest head();

    /** Returns the whole body of the request; released with the end of the exchange. */
    ByteBuf body();

    /** Returns when the head came, in milliseconds since the epoch. */
    long arrivedMilliseconds();

    /** Sets who is told what the caller does. */
    void setListener(CallerListener listener);

    /**
     * Begins the answer.
     *
     * @param status status code
     * @param reason reason phrase
     * @param headers headers without those that frame the body
     * @param length length of the body; empty when it isn't known
     */
    void begin(int status, String reason, HttpHeaders headers, OptionalLong length);

    /** Passes bytes of the body on; takes the buffer over. */
    void write(ByteBuf content);

    /** Sends what was written, if anything was. */
    void flush();

    /** Completes the answer. */
    void end();

    /** Closes the connection, so that an answer that has begun can't look complete. */
    void abort();

    /** Returns whether the caller takes more bytes now. */
    boolean isWritable();
}
