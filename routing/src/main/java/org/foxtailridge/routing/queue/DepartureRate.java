package org.foxtailridge.routing.queue;

/**
 * Estimates from the dispatched tokens how long a backlogged queue takes to serve a number of
 * tokens.
 *
 * <p>The rate is measured only while requests wait. Departures older than the window lose weight.
 */
final class DepartureRate {
    private static final long MINIMUM_ELAPSED_MILLISECONDS = 500;
    private static final long WINDOW_MILLISECONDS = 5_000;

    private boolean mBacklogged;
    private double mWindowStartMilliseconds;
    private double mTokens;

    /** Starts a new measurement when the queue becomes backlogged. */
    void setBacklogged(boolean backlogged, long now) {
        if (backlogged && !mBacklogged) {
            mWindowStartMilliseconds = now;
            mTokens = 0;
        }
        mBacklogged = backlogged;
    }

    /** Counts the tokens of a dispatched request. */
    void recordDeparture(int tokens, long now) {
        mTokens += tokens;
        double elapsed = now - mWindowStartMilliseconds;
        if (elapsed > WINDOW_MILLISECONDS) {
            // Halves the weight of the past; the rate stays the same.
            mTokens /= 2;
            mWindowStartMilliseconds = now - elapsed / 2;
        }
    }

    /**
     * Returns the expected time to dispatch the tokens, in milliseconds; 0 while the queue is not
     * backlogged or was backlogged for less than the minimum time.
     */
    double expectedMilliseconds(double tokens, long now) {
        double elapsed = now - mWindowStartMilliseconds;
        if (!mBacklogged || elapsed < MINIMUM_ELAPSED_MILLISECONDS || mTokens <= 0) {
            return 0;
        }
        return tokens * elapsed / mTokens;
    }
}
