package org.foxtailridge.membership.lease;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailridge.core.name.NodeName;

/**
 * State machine that acquires, renews and releases the leases of one node through the log.
 *
 * <p>The node may act on a duty while {@link #held} returns its lease. The holder counts the
 * validity from the time at which it sent the record, on its own clock. Other nodes count from the
 * time at which they read that record and add a margin, so that the holder stops before another
 * node acquires the lease. While the log is not available, leases expire and no node acts on a duty
 * that needs one. Not thread-safe.
 *
 * <pre>{@code
 * LeaseManager leases =
 *         LeaseManager.create(self, incarnation, LeaseSettings.defaults(), clock, outbox);
 * leases.setCandidacies(List.of(new Candidacy("snapshot", rank)));
 * leases.tick(); // several times a second
 * leases.onRead(request, answer); // result of outbox.read(request, ...)
 * leases.held("snapshot").ifPresent(lease -> act(lease.fencing()));
 * leases.releaseAll(); // at a planned stop
 * }</pre>
 */
public class LeaseManager {
    /** Maximum number of own records whose send time is kept until they are read. */
    private static final int MAXIMUM_SENT_RECORDS = 32;

    private static final Duration MINIMUM_APPEND_INTERVAL = Duration.ofMillis(500);

    private final NodeName mSelf;
    private final long mIncarnation;
    private final LeaseSettings mSettings;
    private final Clock mClock;
    private final LeaseOutbox mOutbox;
    private final LeaseFold mFold;
    private final LeaseReader mReader;
    private final LogTime mLogTime = new LogTime();
    private final Map<String, Candidacy> mCandidacies = new LinkedHashMap<>();
    private final Map<String, HeldLease> mHeld = new HashMap<>();
    private final Map<String, Instant> mRenewalReadAt = new HashMap<>();
    private final Map<String, Instant> mFreeSince = new HashMap<>();
    private final Map<String, Instant> mRecordSentAt = new LinkedHashMap<>();
    private final Instant mStartedAt;
    private Optional<Instant> mAppendSentAt = Optional.empty();
    private OptionalLong mAppendedOffset = OptionalLong.empty();
    private Instant mNextRenewalAt = Instant.MIN;
    private Instant mNextAppendAt = Instant.MIN;
    private long mAppendNumber;
    private boolean mStopped;

    LeaseManager(
            NodeName self,
            long incarnation,
            LeaseSettings settings,
            Clock clock,
            LeaseOutbox outbox,
            LeaseFold fold) {
        mSelf = Objects.requireNonNull(self, "self");
        mIncarnation = incarnation;
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mFold = fold;
        mReader = new LeaseReader(outbox, fold);
        mStartedAt = clock.instant();
    }

    /**
     * Returns a manager that holds no leases.
     *
     * @param self name of this node
     * @param incarnation milliseconds since the epoch at which this process started
     * @param settings settings, the same on all nodes
     * @param clock clock that measures validity; if it steps back, this node may hold a lease for
     *     longer than other nodes wait, and if it steps forward, leases expire early
     * @param outbox log operations, which the node carries out
     */
    public static LeaseManager create(
            NodeName self,
            long incarnation,
            LeaseSettings settings,
            Clock clock,
            LeaseOutbox outbox) {
        return new LeaseManager(
                self, incarnation, settings, clock, outbox, new LeaseFold(settings));
    }

    /**
     * Replaces the duties for which this node is a candidate. It stops acting on other duties at
     * once and releases their leases with the next renewal.
     *
     * @param candidacies duties with the rank of this node for each
     */
    public void setCandidacies(List<Candidacy> candidacies) {
        mCandidacies.clear();
        candidacies.forEach(candidacy -> mCandidacies.put(candidacy.duty(), candidacy));
        mHeld.keySet().retainAll(mCandidacies.keySet());
        mFreeSince.keySet().retainAll(mCandidacies.keySet());
    }

    /** Stops acting on all duties at once and releases their leases with the next append. */
    public void releaseAll() {
        setCandidacies(List.of());
        mNextRenewalAt = Instant.MIN;
    }

    /** Returns the lease under which this node may act on a duty now, if it holds a valid one. */
    public Optional<HeldLease> held(String duty) {
        return held(duty, Duration.ZERO);
    }

    /**
     * Returns the lease under which this node may act on a duty for some time, if it holds one that
     * is valid for so long.
     *
     * @param duty name of the duty
     * @param needed time for which the lease must still be valid
     */
    public Optional<HeldLease> held(String duty, Duration needed) {
        if (mStopped) {
            return Optional.empty();
        }
        Instant end = mClock.instant().plus(needed);
        return Optional.ofNullable(mHeld.get(duty))
                .filter(lease -> end.isBefore(lease.validUntil()));
    }

    /** Returns the lease of a duty as the log records it, of any node and possibly expired. */
    public Optional<Lease> recorded(String duty) {
        return mFold.lease(duty);
    }

    /**
     * Returns whether the manager has stopped because it read a record of a newer format. It holds
     * no lease from then on, as it can't tell which leases such records acquire.
     */
    public boolean isStopped() {
        return mStopped;
    }

    /** Drops expired leases, and sends the reads and appends that are due. */
    public void tick() {
        Instant now = mClock.instant();
        mHeld.values().removeIf(lease -> !now.isBefore(lease.validUntil()));
        if (mStopped) {
            return;
        }
        mReader.tick(now);
        boolean timedOut =
                mAppendSentAt.isPresent()
                        && !now.isBefore(mAppendSentAt.get().plus(mSettings.appendTimeout()));
        if (timedOut) {
            mAppendSentAt = Optional.empty();
        }
        if (mReader.isAtEnd() && mAppendSentAt.isEmpty() && !now.isBefore(mNextAppendAt)) {
            appendIfDue(now);
        }
    }

    /** Folds the records of a read; ignores the answer to an earlier read. */
    public void onRead(long request, LeaseLogAnswer answer) {
        Instant now = mClock.instant();
        if (mStopped || !mReader.accept(request, answer)) {
            return;
        }
        for (LeaseLogRecord record : answer.records()) {
            if (record.offset() == mFold.nextOffset() && !mStopped) {
                fold(record, now);
            }
        }
        if (mAppendedOffset.isPresent() && mFold.nextOffset() > mAppendedOffset.getAsLong()) {
            mAppendSentAt = Optional.empty();
            mAppendedOffset = OptionalLong.empty();
        }
    }

    /** Schedules a retry of a failed read. */
    public void onReadFailed(long request) {
        mReader.onFailure(request, mClock.instant());
    }

    /** Handles the offset of an appended record; its operations take effect once it is read. */
    public void onAppended(long request, long offset) {
        if (request == mAppendNumber) {
            mAppendedOffset = OptionalLong.of(offset);
        }
    }

    /**
     * Handles a failed append, or one whose answer was lost: the record may or may not be in the
     * log. The manager sends the operations again if they are still due.
     */
    public void onAppendFailed(long request) {
        if (request == mAppendNumber) {
            mAppendSentAt = Optional.empty();
            mNextAppendAt = mClock.instant().plus(MINIMUM_APPEND_INTERVAL);
        }
    }

    private void fold(LeaseLogRecord record, Instant now) {
        mLogTime.set(record.timeMs(), now);
        Optional<LeaseRecord> parsed;
        try {
            parsed = LeaseCodec.read(record.payload());
        } catch (IncompatibleLeaseException newer) {
            mStopped = true;
            mHeld.clear();
            return;
        }
        if (parsed.isEmpty()) {
            mFold.skip();
            return;
        }
        Set<String> effective = mFold.apply(record.timeMs(), parsed.get());
        for (LeaseOperation operation : parsed.get().operations()) {
            recordReadTime(operation.duty(), record.timeMs(), now);
            updateHeld(record, parsed.get(), operation, effective.contains(operation.duty()));
        }
    }

    private void recordReadTime(String duty, long timeMs, Instant now) {
        Optional<Lease> lease = mFold.lease(duty);
        if (lease.isEmpty()) {
            mRenewalReadAt.remove(duty);
        } else if (lease.get().renewedMs() == timeMs) {
            mRenewalReadAt.put(duty, now);
            mFreeSince.remove(duty);
        }
    }

    /**
     * Updates the held leases with an operation read from the log. An acquisition by another
     * process that takes effect ends the lease of this node; an own operation without effect shows
     * that its lease is lost.
     */
    private void updateHeld(
            LeaseLogRecord record,
            LeaseRecord read,
            LeaseOperation operation,
            boolean takesEffect) {
        String duty = operation.duty();
        boolean own = read.node().equals(mSelf.value()) && read.incarnation() == mIncarnation;
        if (!own) {
            if (takesEffect && operation.action() == LeaseAction.ACQUIRE) {
                mHeld.remove(duty);
            }
            return;
        }
        Instant sentAt = mRecordSentAt.get(read.id());
        if (!takesEffect || operation.action() == LeaseAction.RELEASE) {
            mHeld.computeIfPresent(
                    duty, (key, held) -> held.fencing() == operation.fencing() ? null : held);
            return;
        }
        if (sentAt != null && mCandidacies.containsKey(duty)) {
            boolean acquired = operation.action() == LeaseAction.ACQUIRE;
            long fencing = acquired ? record.offset() : operation.fencing();
            Instant start = validityStart(sentAt, mClock.instant());
            Instant validUntil = start.plusMillis(operation.durationMs());
            hold(new HeldLease(duty, fencing, validUntil));
        }
    }

    /**
     * Returns the start of the validity of a lease: the time at which its record was sent. Counting
     * from {@code readAt} would let this node act after others treat the lease as expired.
     */
    Instant validityStart(Instant sentAt, Instant readAt) {
        return sentAt;
    }

    /**
     * Stores a lease unless the present one has the same fencing number and is valid for longer.
     */
    private void hold(HeldLease lease) {
        HeldLease held = mHeld.get(lease.duty());
        boolean longer =
                held == null
                        || held.fencing() != lease.fencing()
                        || held.validUntil().isBefore(lease.validUntil());
        if (longer) {
            mHeld.put(lease.duty(), lease);
        }
    }

    /** Appends due operations, or an empty record while the log time is not known. */
    private void appendIfDue(Instant now) {
        if (!mLogTime.isKnown()) {
            append(List.of(), now);
            return;
        }
        List<LeaseOperation> operations = new ArrayList<>();
        if (!now.isBefore(mNextRenewalAt)) {
            addRenewals(operations, now);
        }
        addAcquisitions(operations, now);
        if (operations.isEmpty()) {
            return;
        }
        if (operations.size() > mSettings.maximumOperations()) {
            operations = operations.subList(0, mSettings.maximumOperations());
        }
        append(operations, now);
    }

    private void addRenewals(List<LeaseOperation> operations, Instant now) {
        mNextRenewalAt = now.plus(mSettings.renewPeriod());
        long logTimeMs = mLogTime.estimateMs(now);
        for (Lease lease : mFold.heldBy(mSelf, mIncarnation)) {
            if (mFold.hasExpired(lease, logTimeMs)) {
                continue;
            }
            if (mCandidacies.containsKey(lease.duty())) {
                operations.add(
                        LeaseOperation.renew(
                                lease.duty(), lease.fencing(), mSettings.duration().toMillis()));
            } else {
                operations.add(LeaseOperation.release(lease.duty(), lease.fencing()));
            }
        }
    }

    private void addAcquisitions(List<LeaseOperation> operations, Instant now) {
        for (Candidacy candidacy : mCandidacies.values()) {
            String duty = candidacy.duty();
            if (!isFree(duty, now)) {
                mFreeSince.remove(duty);
                continue;
            }
            Instant since = mFreeSince.computeIfAbsent(duty, key -> now);
            Duration delay = mSettings.takeoverDelay().multipliedBy(candidacy.rank());
            if (!now.isBefore(since.plus(delay))) {
                operations.add(LeaseOperation.acquire(duty, mSettings.duration().toMillis()));
            }
        }
    }

    /**
     * Returns whether the lease of a duty can be acquired. A lease must have expired by the
     * estimated log time and also by this node's clock since it read the last renewal, so that a
     * forward step of the log's clock alone does not free it. The estimate adds the time since the
     * last record read, on this node's clock, so neither condition detects a step of this clock. If
     * the log records no lease and its start was not read, there may be one in records that were
     * not read; the duty then counts as free once a lease from the creation of this manager would
     * have expired.
     */
    private boolean isFree(String duty, Instant now) {
        Optional<Lease> lease = mFold.lease(duty);
        if (lease.isEmpty()) {
            long waitMs = mSettings.expiryMs(mSettings.duration().toMillis());
            return mFold.hasSeenStart() || !now.isBefore(mStartedAt.plusMillis(waitMs));
        }
        long expiryMs = mSettings.expiryMs(lease.get().durationMs());
        Instant readAt = mRenewalReadAt.getOrDefault(duty, mStartedAt);
        boolean expired = mFold.hasExpired(lease.get(), mLogTime.estimateMs(now));
        return expired && !now.isBefore(readAt.plusMillis(expiryMs));
    }

    private void append(List<LeaseOperation> operations, Instant now) {
        mAppendNumber++;
        String id = mSelf.value() + ":" + mIncarnation + ":" + mAppendNumber;
        LeaseRecord record =
                new LeaseRecord(
                        LeaseRecord.FORMAT,
                        LeaseRecord.TYPE,
                        id,
                        mSelf.value(),
                        mIncarnation,
                        mLogTime.notAfterMs(now, mSettings.clockSlack()),
                        operations);
        mRecordSentAt.put(id, now);
        if (mRecordSentAt.size() > MAXIMUM_SENT_RECORDS) {
            mRecordSentAt.remove(mRecordSentAt.keySet().iterator().next());
        }
        mAppendSentAt = Optional.of(now);
        mAppendedOffset = OptionalLong.empty();
        mNextAppendAt = now.plus(MINIMUM_APPEND_INTERVAL);
        mOutbox.append(mAppendNumber, LeaseCodec.write(record));
    }
}
