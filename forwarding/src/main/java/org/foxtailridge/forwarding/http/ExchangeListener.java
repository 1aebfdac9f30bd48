package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailridge.forwarding.request.AttemptFailure;

/** Is told how one exchange with an endpoint goes; exactly one of complete and failed is last. */
public interface ExchangeListener {
    /** Returns whether an answer belongs to this exchange; others are skipped. */
    boolean matches(HttpResponse head);

    /** The head of the answer has come. */
    void head(HttpResponse head);

    /** A piece of the body has come; the buffer belongs to the caller of this method. */
    void content(ByteBuf content);

    /** The whole answer has come. */
    void complete();

    /** No whole answer will come. */
    void failed(AttemptFailure failure, String reason);
}
