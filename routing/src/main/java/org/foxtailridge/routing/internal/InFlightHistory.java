package org.foxtailridge.routing.internal;

/** The latest changes of a count with their instants, in a ring of fixed size. */
final class InFlightHistory {
    private static final int CHANGES = 64;

    private final long[] mMilliseconds = new long[CHANGES];
    private final int[] mCounts = new int[CHANGES];
    private int mNext;
    private int mSize;

    void add(long nowMilliseconds, int count) {
        mMilliseconds[mNext] = nowMilliseconds;
        mCounts[mNext] = count;
        mNext = (mNext + 1) % CHANGES;
        mSize = Math.min(CHANGES, mSize + 1);
    }

    /**
     * Returns the count at an instant.
     *
     * @param milliseconds instant, in milliseconds since the epoch
     * @param current the count now, which is returned when there was no change
     */
    int countAt(long milliseconds, int current) {
        int oldest = mSize == 0 ? current : 0;
        for (int back = 1; back <= mSize; back++) {
            int slot = Math.floorMod(mNext - back, CHANGES);
            if (mMilliseconds[slot] <= milliseconds) {
                return mCounts[slot];
            }
            oldest = mSize == CHANGES ? mCounts[slot] : 0;
        }
        return oldest;
    }
}
