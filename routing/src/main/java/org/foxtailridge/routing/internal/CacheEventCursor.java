package org.foxtailridge.routing.internal;

/**
 * Position in the cache event stream of one endpoint; detects restarts, duplicates and gaps.
 *
 * <p>Confined to the router's thread.
 */
public final class CacheEventCursor {
    private static final long NONE = -1;

    private long mIncarnation = NONE;
    private long mLastSequence = NONE;
    private int mEpoch;
    private int mGapCount;
    private long mGapMilliseconds;

    /**
     * Returns a number that grows with each restart of the endpoint, which empties its cache. The
     * first incarnation that becomes known is no restart.
     */
    public int epoch() {
        return mEpoch;
    }

    /** Returns the number of gaps in the sequence numbers so far. */
    public int gapCount() {
        return mGapCount;
    }

    /** Returns the instant of the latest gap, in milliseconds since the epoch. */
    public long gapMilliseconds() {
        return mGapMilliseconds;
    }

    /**
     * Returns whether events of the incarnation are current. A later incarnation than before starts
     * a new epoch and new sequence numbers; events of an earlier one are to be ignored.
     */
    boolean acceptIncarnation(long incarnation) {
        if (incarnation < mIncarnation) {
            return false;
        }
        if (incarnation > mIncarnation) {
            boolean first = mIncarnation == NONE;
            mIncarnation = incarnation;
            mLastSequence = NONE;
            mEpoch += first ? 0 : 1;
        }
        return true;
    }

    /** Advances to the sequence number of an event; returns false for a duplicate. */
    boolean acceptSequence(long sequence, long nowMilliseconds) {
        if (sequence <= mLastSequence) {
            return false;
        }
        if (mLastSequence != NONE && sequence > mLastSequence + 1) {
            mGapCount++;
            mGapMilliseconds = nowMilliseconds;
        }
        mLastSequence = sequence;
        return true;
    }
}
