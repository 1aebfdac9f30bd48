package org.foxtailridge.forwarding.request;

/** How an attempt failed. */
public enum AttemptFailure {
    /** No connection could be made, so that nothing was sent. */
    NOT_SENT(false),
    /** The endpoint said that it did not run the request and won't. */
    NOT_RUN(false),
    /** The endpoint has no room and did not run the request. */
    FULL(false),
    /** The adapter could not be loaded in time, so that nothing was sent. */
    NOT_PREPARED(false),
    /** The endpoint ran the request and answered with a failure. */
    FAILED_ANSWER(true),
    /** The answer was cut short, was no answer, or never came. */
    BROKEN(true),
    /** No answer came for so long that the attempt was given up. */
    SILENT(true);

    private final boolean mMayHaveRun;

    AttemptFailure(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Returns whether the endpoint may have run the request, or may still run it. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
