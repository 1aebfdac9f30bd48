package org.foxtailridge.forwarding.request;

/**
 * Why an attempt failed. The constants are written to logs and metrics in lower case.
 *
 * <p>{@link #mayHaveRun} decides whether a request that must not run twice may be sent to another
 * endpoint.
 */
public enum AttemptFailure {
    /** No connection could be opened, so nothing was sent. */
    NOT_SENT(false),
    /** The endpoint stated that it did not run the request and will not run it later. */
    NOT_RUN(false),
    /** The endpoint had no capacity and did not run the request. */
    FULL(false),
    /** The adapter could not be loaded in time, so nothing was sent. */
    NOT_PREPARED(false),
    /** The endpoint ran the request and answered with an error. */
    FAILED_ANSWER(true),
    /** The answer was truncated, malformed or missing. */
    BROKEN(true),
    /** No answer arrived within the timeout of the attempt. */
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
