package org.foxtailridge.routing.queue;

/** Tokens that leave a queue each millisecond while requests wait in it. */
final class DepartureRate {
    private static final long SHORTEST_MILLISECONDS = 500;
    private static final long WINDOW_MILLISECONDS = 5_000;

    private boolean mBacklogged;
    private double mSinceMilliseconds;
    private double mTokens;

    void backlog(boolean backlogged, long now) {
        if (backlogged && !mBacklogged) {
            mSinceMilliseconds = now;
            mTokens = 0;
        }
        mBacklogged = backlogged;
    }

    void left(int tokens, long now) {
        mTokens += tokens;
        double elapsed = now - mSinceMilliseconds;
        if (elapsed > WINDOW_MILLISECONDS) {
            // Keeps the rate and halves the weight of what is older.
            mTokens /= 2;
            mSinceMilliseconds = now - elapsed / 2;
        }
    }

    /** Returns the time that the tokens take to leave, in milliseconds; 0 when it isn't known. */
    double milliseconds(double tokens, long now) {
        double elapsed = now - mSinceMilliseconds;
        if (!mBacklogged || elapsed < SHORTEST_MILLISECONDS || mTokens <= 0) {
            return 0;
        }
        return tokens * elapsed / mTokens;
    }
}
