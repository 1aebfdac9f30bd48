package org.foxtailridge.execution.crash;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When an endpoint last survived the beginning of an answer to a request with a prompt part.
 * Bounded; the parts that were answered least recently are dropped first.
 */
final class PartAnswers {
    /** Time of a part that was never answered. */
    static final long NEVER = Long.MIN_VALUE;

    // About 100 bytes each.
    private static final int MAXIMUM_PARTS = 8_192;

    private final Map<Long, Long> mMilliseconds = new LinkedHashMap<>();

    /** Records an answer; an older one than the last that is known has no effect. */
    void record(long part, long milliseconds) {
        Long former = mMilliseconds.remove(part);
        mMilliseconds.put(part, former == null ? milliseconds : Math.max(former, milliseconds));
        if (mMilliseconds.size() > MAXIMUM_PARTS) {
            mMilliseconds.remove(mMilliseconds.keySet().iterator().next());
        }
    }

    /** Returns the time of the last answer in milliseconds since the epoch, or {@link #NEVER}. */
    long last(long part) {
        return mMilliseconds.getOrDefault(part, NEVER);
    }
}
