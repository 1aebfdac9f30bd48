package org.foxtailridge.configuration.follow;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.record.IncompatibleRecordException;
import org.foxtailridge.protocol.configuration.RelayedRecord;

/**
 * Decides what to read from the log.
 *
 * <p>It reads on from the node's offset. When the log no longer holds the next record, it looks
 * through the retained records for a snapshot that reaches back far enough, and reads on after the
 * offset that the snapshot covers.
 */
final class LogReader {
    private static final long NOT_SEARCHING = -1;

    private final FollowerSettings mSettings;
    private final FollowerOutbox mOutbox;
    private final FollowedState mState;
    private long mRequests;
    private long mOffsetAtRead;
    private Optional<Instant> mSentAt = Optional.empty();
    private Instant mNextReadAt = Instant.MIN;
    private long mSearchFrom = NOT_SEARCHING;
    private boolean mReadsForDataCentre;

    LogReader(FollowerSettings settings, FollowerOutbox outbox, FollowedState state) {
        mSettings = settings;
        mOutbox = outbox;
        mState = state;
    }

    void tick(Instant now, boolean readsForDataCentre) {
        mReadsForDataCentre = readsForDataCentre;
        if (mSentAt.isPresent() && isPast(now, mSentAt.get().plus(mSettings.readTimeout()))) {
            fail(now);
        }
        readIfDue(now);
    }

    void onFailure(long request, Instant now) {
        if (isAwaited(request)) {
            fail(now);
        }
    }

    void onAnswer(long request, LogAnswer answer, Instant now) {
        if (!isAwaited(request)) {
            return;
        }
        Instant sentAt = mSentAt.get();
        mSentAt = Optional.empty();
        mNextReadAt = now.plus(periodAfterAnswer());
        if (mState.reaches(answer.firstRetained())) {
            mSearchFrom = NOT_SEARCHING;
            follow(answer, sentAt, now);
        } else {
            search(answer, now);
        }
        readIfDue(now);
    }

    /** Returns the pause after an answer; a log that answers may be asked again soon. */
    private Duration periodAfterAnswer() {
        return mReadsForDataCentre ? Duration.ZERO : mSettings.readRetry();
    }

    private void fail(Instant now) {
        mSentAt = Optional.empty();
        mNextReadAt =
                now.plus(mReadsForDataCentre ? mSettings.readRetry() : mSettings.fallbackPeriod());
    }

    private void readIfDue(Instant now) {
        boolean wanted = mReadsForDataCentre || mState.isStale(now, mSettings.fallbackAfter());
        if (mState.stopped() || mSentAt.isPresent() || !wanted || now.isBefore(mNextReadAt)) {
            return;
        }
        mSentAt = Optional.of(now);
        mRequests++;
        mOffsetAtRead = mState.offset();
        boolean searching = mSearchFrom != NOT_SEARCHING;
        long from = searching ? mSearchFrom : mState.offset() + 1;
        boolean waits = mReadsForDataCentre && !searching;
        mOutbox.read(
                new LogRead(
                        mRequests,
                        from,
                        mSettings.readLimit(),
                        waits ? mSettings.readWait() : Duration.ZERO));
    }

    private void follow(LogAnswer answer, Instant sentAt, Instant now) {
        if (answer.next() <= mOffsetAtRead) {
            mState.setProblem(FollowerPhase.LOG_BEHIND, now);
            mNextReadAt = now.plus(mSettings.readRetry());
            return;
        }
        for (LogRecord record : answer.records()) {
            RelayedRecord relayed = RelayedRecord.newBuilder().setPayload(record.payload()).build();
            if (!mState.fold(record.offset(), relayed)) {
                return;
            }
        }
        if (mState.offset() + 1 >= answer.next()) {
            mState.confirm(sentAt);
        } else if (!answer.records().isEmpty()) {
            mNextReadAt = now;
        }
    }

    private void search(LogAnswer answer, Instant now) {
        mSearchFrom = Math.max(mSearchFrom, answer.firstRetained());
        for (LogRecord record : answer.records()) {
            if (record.offset() < mSearchFrom) {
                continue;
            }
            if (startsAt(record, answer.firstRetained())) {
                mSearchFrom = NOT_SEARCHING;
                mNextReadAt = now;
                return;
            }
            mSearchFrom = record.offset() + 1;
        }
        if (mSearchFrom >= answer.next()) {
            mState.setProblem(FollowerPhase.GAP, now);
            mSearchFrom = NOT_SEARCHING;
            mNextReadAt = now.plus(mSettings.fallbackPeriod());
        } else {
            mNextReadAt = now;
        }
    }

    private boolean startsAt(LogRecord record, long firstRetained) {
        try {
            Optional<ConfigurationState> start =
                    ConfigurationFold.startAt(record.offset(), record.payload(), firstRetained);
            return start.isPresent() && mState.install(start.get());
        } catch (IncompatibleRecordException newer) {
            return false;
        }
    }

    private boolean isAwaited(long request) {
        return request == mRequests && mSentAt.isPresent();
    }

    private static boolean isPast(Instant now, Instant bound) {
        return !now.isBefore(bound);
    }
}
