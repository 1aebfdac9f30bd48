package org.foxtailridge.configuration.publish;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.foxtailridge.configuration.fold.ConfigurationState;

/**
 * Says when a snapshot is due, well before the log drops the records since the last one.
 *
 * <p>One node at a time appends snapshots: the one that holds the duty's lease. Two snapshots at
 * once do no harm, since each is the state that every reader has at the offset that it covers.
 *
 * <pre>{@code
 * if (holdsLease && status.staleness() is short && schedule.isDue(state, now)) {
 *     append(RecordCodec.write(state.toSnapshot(id)));
 *     schedule.onAppended(state, now);
 * }
 * }</pre>
 */
public final class SnapshotSchedule {
    private static final int PARTS_OF_RETENTION = 8;

    private final Duration mPeriod;
    private final long mMaximumRecords;
    private Instant mLastAt = Instant.MIN;
    private long mLastCovered = -1;

    /**
     * Creates a schedule.
     *
     * @param retention time for which the log keeps records
     * @param maximumRecords records after which a snapshot is due however young the last one is
     */
    public SnapshotSchedule(Duration retention, long maximumRecords) {
        Objects.requireNonNull(retention, "retention");
        if (maximumRecords < 1) {
            throw new IllegalArgumentException(
                    "maximumRecords must be at least 1 but was " + maximumRecords);
        }
        mPeriod = retention.dividedBy(PARTS_OF_RETENTION);
        mMaximumRecords = maximumRecords;
    }

    /**
     * Returns whether a snapshot is due.
     *
     * @param state state in force on the node that holds the duty
     * @param now present instant
     */
    public boolean isDue(ConfigurationState state, Instant now) {
        if (state.offset() < 0) {
            return false;
        }
        boolean old = mLastAt.equals(Instant.MIN) || !now.isBefore(mLastAt.plus(mPeriod));
        return old || state.offset() - mLastCovered >= mMaximumRecords;
    }

    /**
     * Takes note of an append that took effect.
     *
     * @param state state that the snapshot holds
     * @param now present instant
     */
    public void onAppended(ConfigurationState state, Instant now) {
        mLastAt = now;
        mLastCovered = state.offset();
    }
}
