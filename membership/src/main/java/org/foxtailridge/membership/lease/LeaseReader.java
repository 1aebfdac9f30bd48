package org.foxtailridge.membership.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Reads the stream {@code leases} for a {@link LeaseFold}, one request at a time.
 *
 * <p>The first read asks for the bounds of the stream. If more than {@link #TAIL_RECORDS} records
 * are retained, or the first ones are no longer retained, reading starts in the tail of the stream.
 * Not thread-safe.
 */
final class LeaseReader {
    private static final int MAXIMUM_RECORDS = 512;

    /** Number of records before the end of the stream at which reading starts. */
    private static final long TAIL_RECORDS = 2_000;

    private static final Duration READ_WAIT = Duration.ofSeconds(2);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration RETRY_BACKOFF = Duration.ofMillis(500);

    private final LeaseOutbox mOutbox;
    private final LeaseFold mFold;
    private long mLastRequest;
    private boolean mPositioned;
    private boolean mAtEnd;
    private Optional<Instant> mSentAt = Optional.empty();
    private Instant mNextReadAt = Instant.MIN;

    LeaseReader(LeaseOutbox outbox, LeaseFold fold) {
        mOutbox = outbox;
        mFold = fold;
    }

    /** Returns whether the last read succeeded and reached the end of the stream. */
    boolean isAtEnd() {
        return mPositioned && mAtEnd;
    }

    void tick(Instant now) {
        if (mSentAt.isPresent() && !now.isBefore(mSentAt.get().plus(READ_TIMEOUT))) {
            onFailure(mLastRequest, now);
        }
        if (mSentAt.isEmpty() && !now.isBefore(mNextReadAt)) {
            mSentAt = Optional.of(now);
            Duration wait = isAtEnd() ? READ_WAIT : Duration.ZERO;
            mOutbox.read(
                    ++mLastRequest, mFold.nextOffset(), mPositioned ? MAXIMUM_RECORDS : 1, wait);
        }
    }

    void onFailure(long request, Instant now) {
        if (request == mLastRequest && mSentAt.isPresent()) {
            mSentAt = Optional.empty();
            mAtEnd = false;
            mNextReadAt = now.plus(RETRY_BACKOFF);
        }
    }

    /**
     * Handles the answer to a read; returns whether its records are to be folded. They are not when
     * the answer is to an earlier read, or when the fold has to restart at another offset because
     * records before the answer were not read.
     */
    boolean accept(long request, LeaseLogAnswer answer) {
        if (request != mLastRequest || mSentAt.isEmpty()) {
            return false;
        }
        mSentAt = Optional.empty();
        long tail = Math.max(answer.firstRetained(), answer.next() - TAIL_RECORDS);
        if (!mPositioned) {
            mPositioned = true;
            if (tail > 0) {
                mFold.restartAt(tail);
                return false;
            }
        } else if (answer.firstRetained() > mFold.nextOffset()) {
            mFold.restartAt(tail);
            return false;
        }
        mAtEnd = mFold.nextOffset() + answer.records().size() >= answer.next();
        return true;
    }
}
