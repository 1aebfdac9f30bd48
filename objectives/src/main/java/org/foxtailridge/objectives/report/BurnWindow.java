package org.foxtailridge.objectives.report;

import java.time.Duration;

/** Spans of time over which a burn rate is given. */
public enum BurnWindow {
    /** Five minutes. */
    FIVE_MINUTES("5m", Duration.ofMinutes(5), true),
    /** Half an hour. */
    HALF_HOUR("30m", Duration.ofMinutes(30), true),
    /** One hour. */
    HOUR("1h", Duration.ofHours(1), true),
    /** Six hours. */
    SIX_HOURS("6h", Duration.ofHours(6), false),
    /** Three days. */
    THREE_DAYS("3d", Duration.ofDays(3), false);

    private final String mLabel;
    private final Duration mLength;
    private final boolean mFromMinutes;

    BurnWindow(String label, Duration length, boolean fromMinutes) {
        mLabel = label;
        mLength = length;
        mFromMinutes = fromMinutes;
    }

    /** Returns the label, for example {@code 5m}. */
    public String label() {
        return mLabel;
    }

    public Duration length() {
        return mLength;
    }

    /** Returns whether it is read from buckets of one minute. */
    boolean isFromMinutes() {
        return mFromMinutes;
    }
}
