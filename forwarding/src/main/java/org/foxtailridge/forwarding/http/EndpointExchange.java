package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailridge.forwarding.request.AttemptFailure;

/** One request to an endpoint and its answer. Confined to the event loop of the connection. */
public final class EndpointExchange implements ExchangeListener {
    private final FullHttpRequest mRequest;
    private final ExchangeListener mListener;
    private EndpointConnection mConnection;
    private boolean mBegun;
    private boolean mEnded;

    EndpointExchange(FullHttpRequest request, ExchangeListener listener) {
        mRequest = request;
        mListener = listener;
    }

    /** Closes the connection without any further call of the listener. */
    public void cancel() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        if (mConnection != null) {
            mConnection.cancel();
        } else {
            mRequest.release();
        }
    }

    /** Returns whether any byte of the request may have been sent. */
    public boolean hasBegun() {
        return mBegun;
    }

    /** Pauses or resumes reading the answer, for back-pressure. */
    public void setReading(boolean reading) {
        if (mConnection != null && !mEnded) {
            mConnection.setReading(reading);
        }
    }

    void start(EndpointConnection connection) {
        mConnection = connection;
        if (mEnded) {
            connection.cancel();
            return;
        }
        mBegun = true;
        connection.start(mRequest, this);
    }

    void failUnsent(String reason) {
        if (!mEnded) {
            mRequest.release();
            failed(AttemptFailure.NOT_SENT, reason);
        }
    }

    @Override
    public AnswerMatch match(HttpResponse head) {
        return mListener.match(head);
    }

    @Override
    public void head(HttpResponse head) {
        mListener.head(head);
    }

    @Override
    public void content(ByteBuf content) {
        mListener.content(content);
    }

    @Override
    public void complete() {
        mEnded = true;
        mListener.complete();
    }

    @Override
    public void failed(AttemptFailure failure, String reason) {
        mEnded = true;
        mListener.failed(failure, reason);
    }
}
