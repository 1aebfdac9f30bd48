package org.foxtailridge.routing.internal;

/**
 * Ring buffer of the latest changes of an endpoint's count of attempts in flight.
 *
 * <p>Answers how many attempts were in flight when a load report was made.
 */
final class InFlightHistory {
    private static final int CAPACITY = 64;

    private final long[] mMilliseconds = new long[CAPACITY];
    private final int[] mCounts = new int[CAPACITY];
    private int mNext;
    private int mSize;

    void add(long nowMilliseconds, int count) {
        mMilliseconds[mNext] = nowMilliseconds;
        mCounts[mNext] = count;
        mNext = (mNext + 1) % CAPACITY;
        mSize = Math.min(CAPACITY, mSize + 1);
    }

    /**
     * Returns the count at an instant. Before the oldest change that is kept, returns the count
     * after that change, or 0 if no change was overwritten yet.
     *
     * @param milliseconds instant, in milliseconds since the epoch
     * @param current the current count, which is returned when there was no change
     */
    int countAt(long milliseconds, int current) {
        int oldest = mSize == 0 ? current : 0;
        for (int back = 1; back <= mSize; back++) {
            int slot = Math.floorMod(mNext - back, CAPACITY);
            if (mMilliseconds[slot] <= milliseconds) {
                return mCounts[slot];
            }
            oldest = mSize == CAPACITY ? mCounts[slot] : 0;
        }
        return oldest;
    }
}
