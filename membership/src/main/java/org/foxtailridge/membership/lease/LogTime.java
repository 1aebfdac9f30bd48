package org.foxtailridge.membership.lease;

import java.time.Duration;
import java.time.Instant;

/** The time of the log, estimated from the latest record read. */
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

    /** Returns the time after which a record sent now is late. */
    long notAfterMs(Instant now, Duration slack) {
        return estimateMs(now) + slack.toMillis();
    }
}
