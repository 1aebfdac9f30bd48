package org.foxtailridge.limits.grant;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.function.LongSupplier;

/** Clock with an offset from the true time and a constant drift. */
final class DriftingClock extends Clock {
    private static final long MILLION = 1_000_000;

    private final LongSupplier mTrueMilliseconds;
    private final long mOffsetMilliseconds;
    private final long mPartsPerMillion;

    DriftingClock(LongSupplier trueMilliseconds, long offsetMilliseconds, long partsPerMillion) {
        mTrueMilliseconds = trueMilliseconds;
        mOffsetMilliseconds = offsetMilliseconds;
        mPartsPerMillion = partsPerMillion;
    }

    @Override
    public Instant instant() {
        long time = mTrueMilliseconds.getAsLong();
        return Instant.ofEpochMilli(
                mOffsetMilliseconds + time + Math.floorDiv(time * mPartsPerMillion, MILLION));
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
