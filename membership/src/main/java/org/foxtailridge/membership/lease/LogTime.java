package org.foxtailridge.membership.lease;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimate of the current log time: the timestamp of the last record read, plus the time since then
 * on this node's clock.
 */
final class LogTime {
    private boolean mKnown;
    private long mTimeMs;
    private Instant mReadAt = Instant.EPOCH;

    void set(long timeMs, Instant readAt) {
        mKnown = true;
        mTimeMs = timeMs;
        mReadAt = readAt;
    }

    boolean isKnown() {
        return mKnown;
    }

    long estimateMs(Instant now) {
        return mTimeMs + Duration.between(mReadAt, now).toMillis();
    }

    /** Returns the latest log time, in milliseconds, at which a record sent now is in time. */
    long notAfterMs(Instant now, Duration slack) {
        return estimateMs(now) + slack.toMillis();
    }
}
