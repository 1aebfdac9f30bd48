package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.time.ManualClock;

/**
 * Log that holds reads open until a record arrives and that can fall silent: it then loses the
 * reads that it holds and those that it receives, which end at their timeout.
 */
public final class SilentLog implements KeyedLog {
    /** Time beyond its wait after which a read without an answer fails. */
    static final Duration ANSWER_TIME = Duration.ofMillis(800);

    private final ManualClock mClock;
    private final List<KeyedRecord> mRecords = new ArrayList<>();
    private final List<HeldRead> mHeld = new ArrayList<>();
    private boolean mSilent;
    private int mReceived;

    /** Creates a log that answers. */
    public SilentLog(ManualClock clock) {
        mClock = clock;
    }

    /** Appends a record. */
    public void append(KeyedRecord entry) {
        mRecords.add(entry);
    }

    /** Falls silent, and loses the reads that it holds; or answers again. */
    public void setSilent(boolean silent) {
        mSilent = silent;
        mHeld.forEach(read -> read.mLost |= silent);
    }

    /** Returns the number of reads that were received so far. */
    public int received() {
        return mReceived;
    }

    /** Returns the number of reads that have neither ended nor been cancelled. */
    long open() {
        return mHeld.stream().filter(read -> !read.mAnswer.isDone()).count();
    }

    /** Answers the reads that are due. */
    public void tick() {
        for (HeldRead read : List.copyOf(mHeld)) {
            Duration age = Duration.ofMillis(mClock.millis() - read.mSinceMilliseconds);
            boolean due = mRecords.size() > read.mFrom || age.compareTo(read.mWait) >= 0;
            boolean timedOut = age.compareTo(read.mWait.plus(ANSWER_TIME)) >= 0;
            if (timedOut) {
                mHeld.remove(read);
                read.mAnswer.completeExceptionally(
                        new FoxtailridgeException(ErrorKind.LOG_UNAVAILABLE, "no answer in time"));
            } else if (due && !read.mLost) {
                mHeld.remove(read);
                read.mAnswer.complete(batch(read.mFrom));
            }
        }
    }

    @Override
    public CompletableFuture<KeyedBatch> newest(KeyedStream stream) {
        return hold(0, Duration.ZERO);
    }

    @Override
    public CompletableFuture<KeyedBatch> read(KeyedStream stream, long fromOffset, Duration wait) {
        return hold((int) fromOffset, wait);
    }

    @Override
    public CompletableFuture<Void> put(KeyedStream stream, KeyedRecord entry) {
        throw new UnsupportedOperationException("followers only read");
    }

    private CompletableFuture<KeyedBatch> hold(int from, Duration wait) {
        mReceived++;
        HeldRead read = new HeldRead(from, wait, mClock.millis(), mSilent);
        mHeld.add(read);
        return read.mAnswer;
    }

    private KeyedBatch batch(int from) {
        return new KeyedBatch(mRecords.subList(from, mRecords.size()), mRecords.size());
    }

    private static final class HeldRead {
        private final CompletableFuture<KeyedBatch> mAnswer = new CompletableFuture<>();
        private final int mFrom;
        private final Duration mWait;
        private final long mSinceMilliseconds;
        private boolean mLost;

        private HeldRead(int from, Duration wait, long sinceMilliseconds, boolean lost) {
            mFrom = from;
            mWait = wait;
            mSinceMilliseconds = sinceMilliseconds;
            mLost = lost;
        }
    }
}
