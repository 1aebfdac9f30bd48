package org.foxtailridge.routing.internal;

/** Position in the cache events of one endpoint. */
public final class CacheEventCursor {
    private static final long NONE = -1;

    private long mIncarnation = NONE;
    private long mLastSequence = NONE;
    private int mEpoch;
    private int mGaps;
    private long mGapMilliseconds;

    /** Returns a number that changes whenever the cache was lost as a whole. */
    public int epoch() {
        return mEpoch;
    }

    /** Returns the number of gaps seen. */
    public int gaps() {
        return mGaps;
    }

    /** Returns the instant of the latest gap, in milliseconds since the epoch. */
    public long gapMilliseconds() {
        return mGapMilliseconds;
    }

    /** Takes in the incarnation; a later one than before means an empty cache. */
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

    /** Takes in an event's number; returns whether the event is new. */
    boolean acceptSequence(long sequence, long nowMilliseconds) {
        if (sequence <= mLastSequence) {
            return false;
        }
        if (mLastSequence != NONE && sequence > mLastSequence + 1) {
            mGaps++;
            mGapMilliseconds = nowMilliseconds;
        }
        mLastSequence = sequence;
        return true;
    }
}
