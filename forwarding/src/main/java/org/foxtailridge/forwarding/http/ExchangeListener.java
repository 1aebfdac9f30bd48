package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailridge.forwarding.request.AttemptFailure;

/**
 * Listener for one exchange with an endpoint. Called on the event loop; exactly one of {@link
 * #complete} and {@link #failed} is the last call, unless the exchange is cancelled.
 */
public interface ExchangeListener {
    /** Returns whether an answer is to this exchange's request. */
    AnswerMatch match(HttpResponse head);

    /** The status line and the headers of the answer have arrived. */
    void head(HttpResponse head);

    /** A part of the body has arrived; the listener must not release the buffer. */
    void content(ByteBuf content);

    /** The answer is complete. */
    void complete();

    /** The exchange ended without a complete answer. */
    void failed(AttemptFailure failure, String reason);
}
