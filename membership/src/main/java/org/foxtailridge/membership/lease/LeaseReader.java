package org.foxtailridge.membership.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Decides what to read from the stream, beginning near its end. */
final class LeaseReader {
    private static final int LIMIT = 512;
    private static final long TAIL_RECORDS = 2_000;
    private static final Duration WAIT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    private static final Duration RETRY = Duration.ofMillis(500);

    private final LeaseOutbox mOutbox;
    private final LeaseFold mFold;
    private long mRequests;
    private boolean mPlaced;
    private boolean mAtEnd;
    private Optional<Instant> mSentAt = Optional.empty();
    private Instant mNextAt = Instant.MIN;

    LeaseReader(LeaseOutbox outbox, LeaseFold fold) {
        mOutbox = outbox;
        mFold = fold;
    }

    /** Returns whether the latest answer reached the end of the stream. */
    boolean isAtEnd() {
        return mPlaced && mAtEnd;
    }

    void tick(Instant now) {
        if (mSentAt.isPresent() && !now.isBefore(mSentAt.get().plus(TIMEOUT))) {
            onFailure(mRequests, now);
        }
        if (mSentAt.isEmpty() && !now.isBefore(mNextAt)) {
            mSentAt = Optional.of(now);
            Duration wait = isAtEnd() ? WAIT : Duration.ZERO;
            mOutbox.read(++mRequests, mFold.next(), mPlaced ? LIMIT : 1, wait);
        }
    }

    void onFailure(long request, Instant now) {
        if (request == mRequests && mSentAt.isPresent()) {
            mSentAt = Optional.empty();
            mAtEnd = false;
            mNextAt = now.plus(RETRY);
        }
    }

    /** Returns whether the records of an answer are to be folded, after any needed restart. */
    boolean accept(long request, LeaseLogAnswer answer) {
        if (request != mRequests || mSentAt.isEmpty()) {
            return false;
        }
        mSentAt = Optional.empty();
        long tail = Math.max(answer.firstRetained(), answer.next() - TAIL_RECORDS);
        if (!mPlaced) {
            mPlaced = true;
            if (tail > 0) {
                mFold.restartAt(tail);
                return false;
            }
        } else if (answer.firstRetained() > mFold.next()) {
            mFold.restartAt(tail);
            return false;
        }
        mAtEnd = mFold.next() + answer.records().size() >= answer.next();
        return true;
    }
}
