package org.foxtailridge.routing.queue;

/** Tokens that leave a queue each millisecond while requests wait in it. */
final class DepartureRate {
    private static final long MINIMUM_ELAPSED_MILLISECONDS = 500;
    private static final long WINDOW_MILLISECONDS = 5_000;

    private boolean mBacklogged;
    private double mWindowStartMilliseconds;
    private double mTokens;

    void setBacklogged(boolean backlogged, long now) {
        if (backlogged && !mBacklogged) {
            mWindowStartMilliseconds = now;
            mTokens = 0;
        }
        mBacklogged = backlogged;
    }

    void recordDeparture(int tokens, long now) {
        mTokens += tokens;
        double elapsed = now - mWindowStartMilliseconds;
        if (elapsed > WINDOW_MILLISECONDS) {
            // Keeps the rate and halves the weight of what is older.
            mTokens /= 2;
            mWindowStartMilliseconds = now - elapsed / 2;
        }
    }

    /** Returns the time that the tokens take to leave, in milliseconds; 0 when it isn't known. */
    double expectedMilliseconds(double tokens, long now) {
        double elapsed = now - mWindowStartMilliseconds;
        if (!mBacklogged || elapsed < MINIMUM_ELAPSED_MILLISECONDS || mTokens <= 0) {
            return 0;
        }
        return tokens * elapsed / mTokens;
    }
}
