package org.foxtailridge.execution.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import org.foxtailridge.protocol.crashes.HeldPart;

/**
 * Prompt parts that are held back after crashes.
 *
 * <p>When its time has passed, a part is tried with one request after the other, by one node; each
 * further crash doubles the time.
 */
final class HeldParts {
    /** Time for which a part is held back at first, in milliseconds. */
    static final long HOLD_MILLISECONDS = 60_000;

    /** Time between two tries; exceeds the time in which a crash is noticed and told. */
    static final long TRY_INTERVAL_MILLISECONDS = 3_000;

    // How much longer a part is remembered than it is held back.
    private static final int REMEMBERED_FACTOR = 10;
    private static final int MAXIMUM_DOUBLINGS = 10;

    private final Map<Long, Hold> mHolds = new HashMap<>();

    boolean isEmpty() {
        return mHolds.isEmpty();
    }

    boolean contains(long part) {
        return mHolds.containsKey(part);
    }

    /** Returns the parts that are held back or remembered. */
    Set<Long> parts() {
        return Set.copyOf(mHolds.keySet());
    }

    /**
     * Holds a part back because of a crash; returns whether that was new. A crash within the time
     * for which the part is held back was caused by a request that was sent before, and does not
     * extend that time.
     */
    boolean hold(long part, long crashMilliseconds, long now) {
        Hold hold = mHolds.computeIfAbsent(part, unused -> new Hold());
        boolean isNew =
                crashMilliseconds > hold.mCrashMilliseconds && now >= hold.mUntilMilliseconds;
        hold.mCrashMilliseconds = Math.max(hold.mCrashMilliseconds, crashMilliseconds);
        if (isNew) {
            hold.mUntilMilliseconds = now + hold.duration();
            hold.mTimes++;
        }
        return isNew;
    }

    /** Takes over a hold of another node, unless this node holds the part back for longer. */
    void merge(HeldPart told, long now) {
        Hold hold = mHolds.computeIfAbsent(told.getPart(), unused -> new Hold());
        long until = now + Integer.toUnsignedLong(told.getRemainingMilliseconds());
        long crash = now - Integer.toUnsignedLong(told.getCrashAgeMilliseconds());
        hold.mUntilMilliseconds = Math.max(hold.mUntilMilliseconds, until);
        hold.mCrashMilliseconds = Math.max(hold.mCrashMilliseconds, crash);
        hold.mTimes = Math.max(hold.mTimes, told.getTimes());
    }

    /** Returns the holds as other nodes are told of them, at most a number. */
    List<HeldPart> toMessages(int maximum, long now) {
        return mHolds.entrySet().stream()
                .limit(maximum)
                .map(entry -> entry.getValue().toMessage(entry.getKey(), now))
                .toList();
    }

    /** Releases a part if it was answered since the crash for which it is held back. */
    boolean release(long part, long answerMilliseconds) {
        Hold hold = mHolds.get(part);
        return hold != null
                && answerMilliseconds > hold.mCrashMilliseconds
                && mHolds.remove(part) != null;
    }

    /**
     * Returns for how long a part is still held back, in milliseconds; 0 when it may be tried.
     *
     * @param tries whether this node tries a part when its time has passed
     */
    long remainingMilliseconds(long part, LongPredicate tries, long now) {
        Hold hold = mHolds.get(part);
        if (hold == null) {
            return 0;
        }
        if (now < hold.mUntilMilliseconds) {
            return hold.mUntilMilliseconds - now;
        }
        return tries.test(part)
                ? Math.max(0, hold.mNextTryMilliseconds - now)
                : TRY_INTERVAL_MILLISECONDS;
    }

    /** Records that a request with the part is sent. */
    void tried(long part, long now) {
        Hold hold = mHolds.get(part);
        if (hold != null) {
            hold.mNextTryMilliseconds = now + TRY_INTERVAL_MILLISECONDS;
        }
    }

    void forgetOld(long now) {
        mHolds.values().removeIf(hold -> now > hold.forgottenMilliseconds());
    }

    private static final class Hold {
        private long mCrashMilliseconds = Long.MIN_VALUE;
        private long mUntilMilliseconds = Long.MIN_VALUE;
        private long mNextTryMilliseconds;
        private int mTimes;

        private long duration() {
            return HOLD_MILLISECONDS << Math.min(mTimes, MAXIMUM_DOUBLINGS);
        }

        private HeldPart toMessage(long part, long now) {
            return HeldPart.newBuilder()
                    .setPart(part)
                    .setCrashAgeMilliseconds((int) (now - mCrashMilliseconds))
                    .setRemainingMilliseconds((int) Math.max(0, mUntilMilliseconds - now))
                    .setTimes(mTimes)
                    .build();
        }

        private long forgottenMilliseconds() {
            return mUntilMilliseconds + REMEMBERED_FACTOR * duration();
        }
    }
}
