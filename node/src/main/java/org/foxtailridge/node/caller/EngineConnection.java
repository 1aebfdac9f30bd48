package org.foxtailridge.node.caller;

import org.foxtailridge.clients.engine.CompletionListener;
import org.foxtailridge.clients.engine.CompletionStream;
import org.foxtailridge.clients.engine.CompletionToken;

/** One connection on which tokens of an attempt arrive; hands each event to the run. */
final class EngineConnection implements CompletionListener {
    private final CompletionRun mRun;
    private final boolean mResumed;
    private volatile CompletionStream mStream;
    private volatile boolean mClosed;
    private boolean mHasTokens;

    /**
     * Creates a connection.
     *
     * @param run run that hears of events
     * @param resumed whether the connection continues an attempt
     */
    EngineConnection(CompletionRun run, boolean resumed) {
        mRun = run;
        mResumed = resumed;
    }

    /** Takes the stream that was started with this listener. */
    void opened(CompletionStream stream) {
        mStream = stream;
        if (mClosed) {
            stream.abort();
        }
    }

    /** Asks for the next token. */
    void demand() {
        CompletionStream stream = mStream;
        if (stream != null && !mClosed) {
            stream.demand();
        }
    }

    /** Closes the connection; later events are of no effect. */
    void close() {
        mClosed = true;
        CompletionStream stream = mStream;
        if (stream != null) {
            stream.abort();
        }
    }

    boolean isClosed() {
        return mClosed;
    }

    /** Returns whether an attempt was to be continued and no token has arrived since. */
    boolean failedToResume() {
        return mResumed && !mHasTokens;
    }

    @Override
    public void onToken(CompletionStream stream, CompletionToken token) {
        mStream = stream;
        mRun.run(
                () -> {
                    mHasTokens = true;
                    mRun.onToken(this, token);
                });
    }

    @Override
    public void onDone() {
        mRun.run(() -> mRun.onDone(this));
    }

    @Override
    public void onRefused(int status, String reason, boolean notStarted) {
        mRun.run(() -> mRun.onRefused(this, reason, notStarted));
    }

    @Override
    public void onBroken(boolean mayHaveStarted, Throwable cause) {
        mRun.run(() -> mRun.onBroken(this, mayHaveStarted, cause));
    }
}
