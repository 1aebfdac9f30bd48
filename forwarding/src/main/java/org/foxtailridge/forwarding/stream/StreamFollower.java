package org.foxtailridge.forwarding.stream;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.FoxtailridgeException;

/**
 * Follower of a keyed stream: keeps the newest value of each key and reports changes.
 *
 * <p>It starts with the newest record of each key, then reads the records that follow. When the log
 * has deleted these, it starts again with the newest records. A snapshot of another node replaces
 * its state when the snapshot covers more of the stream. The offset never decreases. While the log
 * fails, it polls the log instead of letting it hold reads open. Confined to one thread; at most
 * one read is in flight.
 *
 * <pre>{@code
 * StreamFollower follower = new StreamFollower(stream, log, timings, clock, listener);
 * follower.tick(); // several times a second
 * follower.installSnapshot(snapshotOfPeer, confirmedMilliseconds);
 * }</pre>
 */
public final class StreamFollower {
    private static final Logger LOGGER = LogManager.getLogger(StreamFollower.class);
    private static final long NEVER = -1;

    private final KeyedStream mStream;
    private final KeyedLog mLog;
    private final Clock mClock;
    private final StreamListener mListener;
    private final StreamState mState = new StreamState();
    private FollowerTimings mTimings;
    private long mNextReadMilliseconds;
    private long mConfirmedMilliseconds = NEVER;
    private Optional<ReadInFlight> mReadInFlight = Optional.empty();
    // Whether the next read asks for the newest record of each key, not for those that follow.
    private boolean mReadNewest = true;
    // Whether the last read failed. A read that is held open shows only at its timeout that the
    // log is silent, so the log is polled until it answers again.
    private boolean mLogFailed;

    /** Creates a follower; it reads from the first {@link #tick} on. */
    public StreamFollower(
            KeyedStream stream,
            KeyedLog log,
            FollowerTimings timings,
            Clock clock,
            StreamListener listener) {
        mStream = Objects.requireNonNull(stream, "stream");
        mLog = Objects.requireNonNull(log, "log");
        mTimings = Objects.requireNonNull(timings, "timings");
        mClock = Objects.requireNonNull(clock, "clock");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Starts a read when the interval or the backoff has passed and none is in flight. */
    public void tick() {
        long now = mClock.millis();
        if (mReadInFlight.isEmpty() && now >= mNextReadMilliseconds && !isRelayed()) {
            startRead(now);
        }
    }

    /**
     * Handles the failure of a read of another stream of the same log: a read that the log holds
     * open may be lost as well, so it is replaced by one that the log answers at once.
     */
    public void logFailed() {
        if (mReadInFlight.isEmpty() || mReadInFlight.get().longPollTimeout().isZero()) {
            return;
        }
        CompletableFuture<KeyedBatch> lost = mReadInFlight.get().answer();
        mReadInFlight = Optional.empty();
        lost.cancel(false);
        mLogFailed = true;
        startRead(mClock.millis());
    }

    /**
     * Installs the state of another node; ignored unless it covers more than this follower's own.
     *
     * @param snapshot newest record of each key
     * @param confirmedMilliseconds time up to which that node had read all records, in milliseconds
     *     since the epoch; -1 when unknown
     */
    public void installSnapshot(KeyedBatch snapshot, long confirmedMilliseconds) {
        if (snapshot.nextOffset() <= mState.nextOffset()) {
            return;
        }
        List<KeyedRecord> changed = mState.replace(snapshot);
        mConfirmedMilliseconds = Math.max(mConfirmedMilliseconds, confirmedMilliseconds);
        mListener.changed(changed, StreamSource.PEER);
    }

    /**
     * Applies records that another node has read.
     *
     * @param fromOffset offset of the first record
     * @param delta records that follow
     * @param confirmedMilliseconds time up to which that node had read all records, in milliseconds
     *     since the epoch
     * @return whether the records continue this follower's state
     */
    public boolean installDelta(long fromOffset, KeyedBatch delta, long confirmedMilliseconds) {
        if (fromOffset > mState.nextOffset()) {
            return false;
        }
        List<KeyedRecord> changed = mState.apply(delta);
        confirm(delta.nextOffset(), confirmedMilliseconds);
        if (!changed.isEmpty()) {
            mListener.changed(changed, StreamSource.PEER);
        }
        return true;
    }

    /**
     * Applies the word of another node that the log ended at an offset; ignored unless this
     * follower has read up to that offset.
     */
    public void confirm(long nextOffset, long confirmedMilliseconds) {
        if (nextOffset <= mState.nextOffset()) {
            mConfirmedMilliseconds = Math.max(mConfirmedMilliseconds, confirmedMilliseconds);
        }
    }

    /** Replaces the timings, from the next read on. */
    public void use(FollowerTimings timings) {
        mTimings = Objects.requireNonNull(timings, "timings");
    }

    public KeyedStream stream() {
        return mStream;
    }

    /** Returns the offset of the next record to read; -1 before the first read or snapshot. */
    public long nextOffset() {
        return mState.nextOffset();
    }

    /** Returns an unmodifiable view of the newest value of each key. */
    public Map<String, byte[]> values() {
        return mState.values();
    }

    /**
     * Returns the time since this state was last confirmed to be complete, in milliseconds; -1 when
     * it never was.
     */
    public long confirmedAgeMilliseconds() {
        return mConfirmedMilliseconds == NEVER
                ? NEVER
                : Math.max(0, mClock.millis() - mConfirmedMilliseconds);
    }

    /** Returns whether another node informs this follower, so that it need not read itself. */
    private boolean isRelayed() {
        long age = confirmedAgeMilliseconds();
        return !mReadNewest && age != NEVER && age < mTimings.relayedAge().toMillis();
    }

    private void startRead(long now) {
        long fromOffset = mState.nextOffset();
        boolean poll = mReadNewest || mLogFailed;
        Duration timeout = poll ? Duration.ZERO : mTimings.longPollTimeout(now);
        CompletableFuture<KeyedBatch> answer =
                mReadNewest ? mLog.newest(mStream) : mLog.read(mStream, fromOffset, timeout);
        ReadInFlight read = new ReadInFlight(answer, mReadNewest, fromOffset, timeout, now);
        mReadInFlight = Optional.of(read);
        answer.handle(
                        (batch, failure) -> {
                            onReadEnded(read, batch, failure);
                            return null;
                        })
                .exceptionally(
                        defect -> {
                            LOGGER.error("could not handle a read of {}", mStream, defect);
                            return null;
                        });
    }

    private void onReadEnded(ReadInFlight read, KeyedBatch batch, Throwable failure) {
        if (mReadInFlight.filter(current -> current == read).isEmpty()) {
            return;
        }
        mReadInFlight = Optional.empty();
        mLogFailed = failure != null;
        if (failure != null) {
            FoxtailridgeException cause = FoxtailridgeException.from(failure);
            mReadNewest |= cause instanceof RecordsDeletedException;
            // A held read that was lost does not show that the log is unavailable now.
            boolean retryAtOnce =
                    cause instanceof RecordsDeletedException || !read.longPollTimeout().isZero();
            mNextReadMilliseconds =
                    mClock.millis() + (retryAtOnce ? 0 : mTimings.retryBackoff().toMillis());
            mListener.failed(cause);
            return;
        }
        mReadNewest = false;
        mConfirmedMilliseconds = Math.max(mConfirmedMilliseconds, read.startedMilliseconds());
        mNextReadMilliseconds = mClock.millis() + mTimings.readInterval().toMillis();
        List<KeyedRecord> changed = read.fromNewest() ? mState.replace(batch) : mState.apply(batch);
        if (!read.fromNewest() && batch.nextOffset() > read.fromOffset()) {
            mListener.appended(read.fromOffset(), batch);
        }
        mListener.confirmed(read.startedMilliseconds());
        if (!changed.isEmpty()) {
            mListener.changed(changed, StreamSource.LOG);
        }
    }

    /**
     * A read without an answer yet.
     *
     * @param answer completes with the records
     * @param fromNewest whether it asks for the newest record of each key
     * @param fromOffset offset of the first record that it asks for
     * @param longPollTimeout time for which the log may hold it open
     * @param startedMilliseconds when it was sent, in milliseconds since the epoch
     */
    private record ReadInFlight(
            CompletableFuture<KeyedBatch> answer,
            boolean fromNewest,
            long fromOffset,
            Duration longPollTimeout,
            long startedMilliseconds) {}
}
