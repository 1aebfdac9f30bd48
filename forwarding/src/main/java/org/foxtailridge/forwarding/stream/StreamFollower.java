package org.foxtailridge.forwarding.stream;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.core.error.FoxtailridgeException;

/**
 * Keeps the newest record of each key of a stream.
 *
 * <p>Begins with the newest records that the log keeps, then reads what follows; when the log has
 * deleted what follows, begins anew without ever going back. A snapshot of another node may stand
 * in when it covers more. Confined to one thread.
 *
 * <pre>{@code
 * StreamFollower follower = new StreamFollower(stream, log, times, clock, listener);
 * follower.tick(); // often
 * follower.takeSnapshot(batchOfAPeer, confirmedMilliseconds);
 * }</pre>
 */
public final class StreamFollower {
    private static final long NEVER = -1;

    private final KeyedStream mStream;
    private final KeyedLog mLog;
    private final FollowerTimes mTimes;
    private final Clock mClock;
    private final StreamListener mListener;
    private final StreamState mState = new StreamState();
    private long mNextReadMilliseconds;
    private long mConfirmedMilliseconds = NEVER;
    private boolean mPending;
    private boolean mBeginAnew = true;

    /** Creates a follower that has read nothing. */
    public StreamFollower(
            KeyedStream stream,
            KeyedLog log,
            FollowerTimes times,
            Clock clock,
            StreamListener listener) {
        mStream = Objects.requireNonNull(stream, "stream");
        mLog = Objects.requireNonNull(log, "log");
        mTimes = Objects.requireNonNull(times, "times");
        mClock = Objects.requireNonNull(clock, "clock");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Reads when a read is due. */
    public void tick() {
        long now = mClock.millis();
        if (mPending || now < mNextReadMilliseconds) {
            return;
        }
        mPending = true;
        boolean anew = mBeginAnew;
        CompletableFuture<KeyedBatch> read =
                anew
                        ? mLog.newest(mStream)
                        : mLog.read(mStream, mState.nextOffset(), mTimes.longestWait());
        read.whenComplete((batch, failure) -> ended(now, anew, batch, failure));
    }

    /**
     * Takes the state of another node.
     *
     * @param snapshot newest record of each key
     * @param confirmedMilliseconds instant up to which that node knew that it had read everything
     */
    public void takeSnapshot(KeyedBatch snapshot, long confirmedMilliseconds) {
        if (snapshot.nextOffset() <= mState.nextOffset()) {
            return;
        }
        List<KeyedRecord> changed = mState.replace(snapshot);
        mConfirmedMilliseconds = Math.max(mConfirmedMilliseconds, confirmedMilliseconds);
        mListener.changed(changed, StreamSource.PEER);
    }

    /** Returns the stream. */
    public KeyedStream stream() {
        return mStream;
    }

    /** Returns the offset of the next record to read; -1 when nothing is known. */
    public long nextOffset() {
        return mState.nextOffset();
    }

    /** Returns the newest value of each key. */
    public Map<String, byte[]> values() {
        return mState.values();
    }

    /** Returns the time since everything written was known, in milliseconds; -1 for never. */
    public long confirmedAgeMilliseconds() {
        return mConfirmedMilliseconds == NEVER
                ? NEVER
                : Math.max(0, mClock.millis() - mConfirmedMilliseconds);
    }

    private void ended(long sent, boolean anew, KeyedBatch batch, Throwable failure) {
        mPending = false;
        if (failure != null) {
            FoxtailridgeException cause = FoxtailridgeException.from(failure);
            mBeginAnew |= cause instanceof RecordsDeletedException;
            boolean retryAtOnce = cause instanceof RecordsDeletedException;
            mNextReadMilliseconds =
                    mClock.millis() + (retryAtOnce ? 0 : mTimes.retryPause().toMillis());
            mListener.failed(cause);
            return;
        }
        mBeginAnew = false;
        mConfirmedMilliseconds = Math.max(mConfirmedMilliseconds, sent);
        mNextReadMilliseconds = mClock.millis() + mTimes.pause().toMillis();
        List<KeyedRecord> changed = anew ? mState.replace(batch) : mState.apply(batch);
        mListener.confirmed(sent);
        if (!changed.isEmpty()) {
            mListener.changed(changed, StreamSource.LOG);
        }
    }
}
