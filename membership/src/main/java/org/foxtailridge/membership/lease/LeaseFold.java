package org.foxtailridge.membership.lease;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;

/**
 * State machine of all leases: folds the lease records in log order, with the same result on every
 * node.
 *
 * <p>Rules, all by the timestamps of the log:
 *
 * <ul>
 *   <li>An acquisition takes effect if the duty has no unexpired lease and the record was appended
 *       no later than its {@code notAfterMs}.
 *   <li>A renewal takes effect if the lease whose fencing number it names is held by the same
 *       process and has not expired.
 *   <li>A release takes effect if the lease whose fencing number it names is held by the same
 *       process.
 * </ul>
 *
 * <p>A reader that starts in the middle of the log has not read earlier acquisitions. Until the
 * longest possible lease would have expired, it marks the holders that it reads as uncertain.
 * Acquisitions and renewals of uncertain leases are recorded but don't take effect.
 *
 * <p>Not thread-safe.
 */
class LeaseFold {
    /** Number of leases above which expired ones are removed. */
    private static final int MAXIMUM_LEASES = 8_192;

    private final LeaseSettings mSettings;
    private final Map<String, Lease> mLeases = new HashMap<>();
    private final Map<String, Long> mLastFencing = new HashMap<>();
    private long mNextOffset;
    private boolean mSeenStart = true;
    private long mCertainFromMs;

    LeaseFold(LeaseSettings settings) {
        mSettings = settings;
    }

    long nextOffset() {
        return mNextOffset;
    }

    Optional<Lease> lease(String duty) {
        return Optional.ofNullable(mLeases.get(duty));
    }

    /** Returns whether the fold has applied the log from its first record on, without a gap. */
    boolean hasSeenStart() {
        return mSeenStart;
    }

    /** Returns the certain leases of a process by name of the duty, expired ones included. */
    List<Lease> heldBy(NodeName node, long incarnation) {
        return mLeases.values().stream()
                .filter(lease -> lease.node().equals(node) && lease.incarnation() == incarnation)
                .filter(Lease::certain)
                .sorted(Comparator.comparing(Lease::duty))
                .toList();
    }

    /** Clears the state and continues at an offset, after a gap in the records read. */
    void restartAt(long offset) {
        mLeases.clear();
        mLastFencing.clear();
        mNextOffset = offset;
        mSeenStart = offset == 0;
        mCertainFromMs = Long.MAX_VALUE;
    }

    /**
     * Folds the next record and returns the duties whose operations took effect.
     *
     * @param timeMs log time of the record, in milliseconds since the epoch
     */
    Set<String> apply(long timeMs, LeaseRecord record) {
        if (!mSeenStart && mCertainFromMs == Long.MAX_VALUE) {
            long longest = LeaseSettings.MAXIMUM_DURATION.toMillis();
            mCertainFromMs = timeMs + mSettings.expiryMs(longest);
        }
        Set<String> effective = new HashSet<>();
        for (LeaseOperation operation : record.operations()) {
            if (isValid(record, operation)
                    && applyOperation(mNextOffset, timeMs, record, operation)) {
                effective.add(operation.duty());
            }
        }
        mNextOffset++;
        if (mLeases.size() > MAXIMUM_LEASES) {
            mLeases.values().removeIf(lease -> hasExpired(lease, timeMs));
        }
        return effective;
    }

    void skip() {
        mNextOffset++;
    }

    /** Returns whether the lease has expired, for all nodes, at a log time. */
    boolean hasExpired(Lease lease, long timeMs) {
        return timeMs - lease.renewedMs() >= mSettings.expiryMs(lease.durationMs());
    }

    /** Returns whether a record was appended in time for its acquisitions to take effect. */
    boolean isInTime(long timeMs, LeaseRecord record) {
        return timeMs <= record.notAfterMs();
    }

    private boolean applyOperation(
            long offset, long timeMs, LeaseRecord record, LeaseOperation operation) {
        Lease held = mLeases.get(operation.duty());
        boolean certain = isCertain(held, timeMs);
        return switch (operation.action()) {
            case ACQUIRE -> acquire(offset, timeMs, record, operation, certain);
            case RENEW -> renew(timeMs, record, operation, certain);
            case RELEASE -> release(record, operation, certain);
        };
    }

    /** Returns whether the holder of a duty, or that it has none, is known for sure. */
    private boolean isCertain(Lease held, long timeMs) {
        if (held == null || hasExpired(held, timeMs)) {
            return mSeenStart || timeMs >= mCertainFromMs;
        }
        return held.certain();
    }

    private boolean acquire(
            long offset,
            long timeMs,
            LeaseRecord record,
            LeaseOperation operation,
            boolean certain) {
        Lease held = mLeases.get(operation.duty());
        boolean free = held == null || hasExpired(held, timeMs);
        if (!isInTime(timeMs, record) || (certain && !free)) {
            return false;
        }
        OptionalLong formerFencing = formerFencingOf(operation.duty());
        mLastFencing.put(operation.duty(), offset);
        set(operation, record, offset, timeMs, certain, formerFencing);
        return certain;
    }

    private boolean renew(
            long timeMs, LeaseRecord record, LeaseOperation operation, boolean certain) {
        Lease held = mLeases.get(operation.duty());
        boolean same = held != null && isHeldBy(held, record, operation);
        boolean unexpired = held != null && !hasExpired(held, timeMs);
        if (certain && !(same && unexpired)) {
            return false;
        }
        OptionalLong formerFencing =
                same ? held.formerFencing() : OptionalLong.of(Lease.UNKNOWN_FENCING);
        mLastFencing.put(operation.duty(), operation.fencing());
        set(operation, record, operation.fencing(), timeMs, certain, formerFencing);
        return certain;
    }

    private boolean release(LeaseRecord record, LeaseOperation operation, boolean certain) {
        Lease held = mLeases.get(operation.duty());
        if (certain && held != null && isHeldBy(held, record, operation)) {
            mLeases.remove(operation.duty());
            return true;
        }
        return false;
    }

    private void set(
            LeaseOperation operation,
            LeaseRecord record,
            long fencing,
            long timeMs,
            boolean certain,
            OptionalLong formerFencing) {
        mLeases.put(
                operation.duty(),
                new Lease(
                        operation.duty(),
                        NodeName.of(record.node()),
                        record.incarnation(),
                        fencing,
                        timeMs,
                        operation.durationMs(),
                        certain,
                        formerFencing));
    }

    private OptionalLong formerFencingOf(String duty) {
        Long last = mLastFencing.get(duty);
        if (last != null) {
            return OptionalLong.of(last);
        }
        return mSeenStart ? OptionalLong.empty() : OptionalLong.of(Lease.UNKNOWN_FENCING);
    }

    private static boolean isHeldBy(Lease held, LeaseRecord record, LeaseOperation operation) {
        return held.fencing() == operation.fencing()
                && held.node().value().equals(record.node())
                && held.incarnation() == record.incarnation();
    }

    /** Returns whether a record and an operation have values in range; others are ignored. */
    private static boolean isValid(LeaseRecord record, LeaseOperation operation) {
        return Names.isName(record.node())
                && operation.durationMs() >= 0
                && operation.durationMs() <= LeaseSettings.MAXIMUM_DURATION.toMillis();
    }
}
