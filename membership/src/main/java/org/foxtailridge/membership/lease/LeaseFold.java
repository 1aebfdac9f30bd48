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
 * Folds lease records in the order of the log, alike on every node.
 *
 * <p>An acquisition counts when no lease of the duty is running by the log's own time, and when it
 * arrived no later than its record allows. A renewal or release counts while the lease is running
 * whose fencing number it names. A reader that starts in the middle of the log can't know leases
 * acquired before; during one longest duration it takes every holder that it reads of for
 * uncertain.
 */
class LeaseFold {
    private static final int MAXIMUM_LEASES = 8_192;

    private final LeaseSettings mSettings;
    private final Map<String, Lease> mLeases = new HashMap<>();
    private final Map<String, Long> mLastFencing = new HashMap<>();
    private long mNext;
    private boolean mSeenStart = true;
    private long mCertainFromMs;

    LeaseFold(LeaseSettings settings) {
        mSettings = settings;
    }

    long next() {
        return mNext;
    }

    Optional<Lease> lease(String duty) {
        return Optional.ofNullable(mLeases.get(duty));
    }

    boolean hasSeenStart() {
        return mSeenStart;
    }

    /** Returns the leases of a process, also those that have run out. */
    List<Lease> heldBy(NodeName node, long incarnation) {
        return mLeases.values().stream()
                .filter(lease -> lease.node().equals(node) && lease.incarnation() == incarnation)
                .filter(Lease::certain)
                .sorted(Comparator.comparing(Lease::duty))
                .toList();
    }

    /** Forgets everything and continues at an offset, after a gap. */
    void restartAt(long offset) {
        mLeases.clear();
        mLastFencing.clear();
        mNext = offset;
        mSeenStart = offset == 0;
        mCertainFromMs = Long.MAX_VALUE;
    }

    /**
     * Folds the next record and returns the duties that it set or renewed.
     *
     * @param timeMs time of the log at the record
     */
    Set<String> apply(long timeMs, LeaseRecord record) {
        if (!mSeenStart && mCertainFromMs == Long.MAX_VALUE) {
            long longest = LeaseSettings.MAXIMUM_DURATION.toMillis();
            mCertainFromMs = timeMs + mSettings.lapseMs(longest);
        }
        Set<String> counted = new HashSet<>();
        for (LeaseOperation operation : record.operations()) {
            if (isSound(record, operation) && counts(mNext, timeMs, record, operation)) {
                counted.add(operation.duty());
            }
        }
        mNext++;
        if (mLeases.size() > MAXIMUM_LEASES) {
            mLeases.values().removeIf(lease -> hasLapsed(lease, timeMs));
        }
        return counted;
    }

    void skip() {
        mNext++;
    }

    /** Returns whether the lease has run out by the log's time. */
    boolean hasLapsed(Lease lease, long timeMs) {
        return timeMs - lease.renewedMs() >= mSettings.lapseMs(lease.durationMs());
    }

    /** Returns whether the acquisitions of a record arrived in time. */
    boolean isInTime(long timeMs, LeaseRecord record) {
        return timeMs <= record.notAfterMs();
    }

    private boolean counts(long offset, long timeMs, LeaseRecord record, LeaseOperation operation) {
        Lease held = mLeases.get(operation.duty());
        boolean certain = isCertain(held, timeMs);
        return switch (operation.action()) {
            case ACQUIRE -> acquire(offset, timeMs, record, operation, certain);
            case RENEW -> renew(timeMs, record, operation, certain);
            case RELEASE -> release(record, operation, certain);
        };
    }

    private boolean isCertain(Lease held, long timeMs) {
        if (held == null || hasLapsed(held, timeMs)) {
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
        boolean free = held == null || hasLapsed(held, timeMs);
        if (!isInTime(timeMs, record) || (certain && !free)) {
            return false;
        }
        OptionalLong former = formerOf(operation.duty());
        mLastFencing.put(operation.duty(), offset);
        set(operation, record, offset, timeMs, certain, former);
        return certain;
    }

    private boolean renew(
            long timeMs, LeaseRecord record, LeaseOperation operation, boolean certain) {
        Lease held = mLeases.get(operation.duty());
        boolean same = held != null && isHeldBy(held, record, operation);
        boolean running = held != null && !hasLapsed(held, timeMs);
        if (certain && !(same && running)) {
            return false;
        }
        OptionalLong former = same ? held.formerFencing() : OptionalLong.of(Lease.UNKNOWN_FENCING);
        mLastFencing.put(operation.duty(), operation.fencing());
        set(operation, record, operation.fencing(), timeMs, certain, former);
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
            OptionalLong former) {
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
                        former));
    }

    private OptionalLong formerOf(String duty) {
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

    private static boolean isSound(LeaseRecord record, LeaseOperation operation) {
        return Names.isName(record.node())
                && operation.durationMs() >= 0
                && operation.durationMs() <= LeaseSettings.MAXIMUM_DURATION.toMillis();
    }
}
