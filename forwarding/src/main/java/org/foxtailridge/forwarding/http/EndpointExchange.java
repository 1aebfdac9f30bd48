package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailridge.forwarding.request.AttemptFailure;

/** One request on its way to an endpoint, and its answer. */
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

    /** Gives the exchange up: the connection is closed, and the listener is told nothing more. */
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

    /** Stops or resumes reading the answer. */
    public void setReading(boolean reading) {
        if (mConnection != null && !mEnded) {
            mConnection.setReading(reading);
        }
    }

    void begin(EndpointConnection connection) {
        mConnection = connection;
        if (mEnded) {
            connection.cancel();
            return;
        }
        mBegun = true;
        connection.start(mRequest, this);
    }

    void notSent(String reason) {
        if (!mEnded) {
            mRequest.release();
            failed(AttemptFailure.NOT_SENT, reason);
        }
    }

    @Override
    public boolean matches(HttpResponse head) {
        return mListener.matches(head);
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
