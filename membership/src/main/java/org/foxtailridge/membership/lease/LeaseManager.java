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
 * Acquires, renews and releases leases of duties through the log.
 *
 * <p>A node may act on a duty while {@link #held} returns its lease. Its validity counts from
 * before its record was sent, by its own clock. Others count from when they read that record, and a
 * margin longer. While the log does not answer, leases run out and nothing that needs one is done.
 * Not safe for use by several threads.
 *
 * <pre>{@code
 * Leases leases = Leases.create(self, incarnation, LeaseSettings.defaults(), clock, outbox);
 * leases.standFor(List.of(new Candidacy("snapshot", rank)));
 * leases.tick(); // several times a second
 * leases.onRead(request, answer); // what outbox.read(...) led to
 * leases.held("snapshot").ifPresent(lease -> act(lease.fencing()));
 * leases.releaseAll(); // a planned stop
 * }</pre>
 */
public class LeaseManager {
    private static final int SENT_KEPT = 32;
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(500);

    private final NodeName mSelf;
    private final long mIncarnation;
    private final LeaseSettings mSettings;
    private final Clock mClock;
    private final LeaseOutbox mOutbox;
    private final LeaseFold mFold;
    private final LeaseReader mReader;
    private final LogTime mLogTime = new LogTime();
    private final Map<String, Candidacy> mWanted = new LinkedHashMap<>();
    private final Map<String, HeldLease> mHeld = new HashMap<>();
    private final Map<String, Instant> mReadAt = new HashMap<>();
    private final Map<String, Instant> mFreeSince = new HashMap<>();
    private final Map<String, Instant> mSentAt = new LinkedHashMap<>();
    private final Instant mStartedAt;
    private Optional<Instant> mAwaitedSince = Optional.empty();
    private OptionalLong mAppendedAt = OptionalLong.empty();
    private Instant mNextRenewalAt = Instant.MIN;
    private Instant mNextAppendAt = Instant.MIN;
    private long mAppends;
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
     * Returns leases that hold nothing yet.
     *
     * @param self name of this node
     * @param incarnation milliseconds since the epoch at which this process started
     * @param settings settings, equal on all nodes
     * @param clock clock of the runtime
     * @param outbox what the leases ask the node to do
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
     * Sets the duties that this node stands ready to do. Leases of other duties are released.
     *
     * @param candidacies duties with this node's rank for each
     */
    public void setCandidacies(List<Candidacy> candidacies) {
        mWanted.clear();
        candidacies.forEach(candidacy -> mWanted.put(candidacy.duty(), candidacy));
        mHeld.keySet().retainAll(mWanted.keySet());
        mFreeSince.keySet().retainAll(mWanted.keySet());
    }

    /** Stops acting on all duties and releases their leases with the next tick. */
    public void releaseAll() {
        setCandidacies(List.of());
        mNextRenewalAt = Instant.MIN;
    }

    /** Returns the lease under which this node may act on a duty now; empty when it may not. */
    public Optional<HeldLease> held(String duty) {
        return held(duty, Duration.ZERO);
    }

    /**
     * Returns the lease under which this node may act on a duty for some time; empty when it may
     * not.
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

    /** Returns the lease of a duty as the log shows it, also of another node or run out. */
    public Optional<Lease> recorded(String duty) {
        return mFold.lease(duty);
    }

    /** Returns whether a record of a newer format was met; no lease is held from then on. */
    public boolean isStopped() {
        return mStopped;
    }

    /** Lets time pass. */
    public void tick() {
        Instant now = mClock.instant();
        mHeld.values().removeIf(lease -> !now.isBefore(lease.validUntil()));
        if (mStopped) {
            return;
        }
        mReader.tick(now);
        boolean late =
                mAwaitedSince.isPresent()
                        && !now.isBefore(mAwaitedSince.get().plus(mSettings.appendTimeout()));
        if (late) {
            mAwaitedSince = Optional.empty();
        }
        if (mReader.isAtEnd() && mAwaitedSince.isEmpty() && !now.isBefore(mNextAppendAt)) {
            appendIfDue(now);
        }
    }

    /** Takes the log's answer to a read. */
    public void onRead(long request, LeaseLogAnswer answer) {
        Instant now = mClock.instant();
        if (mStopped || !mReader.accept(request, answer)) {
            return;
        }
        for (LeaseLogRecord record : answer.records()) {
            if (record.offset() == mFold.next() && !mStopped) {
                fold(record, now);
            }
        }
        if (mAppendedAt.isPresent() && mFold.next() > mAppendedAt.getAsLong()) {
            mAwaitedSince = Optional.empty();
            mAppendedAt = OptionalLong.empty();
        }
    }

    /** Takes note that a read failed. */
    public void onReadFailed(long request) {
        mReader.onFailure(request, mClock.instant());
    }

    /** Takes note of the offset of an appended record. */
    public void onAppended(long request, long offset) {
        if (request == mAppends) {
            mAppendedAt = OptionalLong.of(offset);
        }
    }

    /** Takes note that an append failed or that its answer was lost. */
    public void onAppendFailed(long request) {
        if (request == mAppends) {
            mAwaitedSince = Optional.empty();
            mNextAppendAt = mClock.instant().plus(SHORTEST_PAUSE);
        }
    }

    private void fold(LeaseLogRecord record, Instant now) {
        mLogTime.set(record.timeMs(), now);
        Optional<LeaseRecord> read;
        try {
            read = LeaseCodec.read(record.payload());
        } catch (IncompatibleLeaseException newer) {
            mStopped = true;
            mHeld.clear();
            return;
        }
        if (read.isEmpty()) {
            mFold.skip();
            return;
        }
        Set<String> counted = mFold.apply(record.timeMs(), read.get());
        for (LeaseOperation operation : read.get().operations()) {
            noteRead(operation.duty(), record.timeMs(), now);
            settle(record, read.get(), operation, counted.contains(operation.duty()));
        }
    }

    private void noteRead(String duty, long timeMs, Instant now) {
        Optional<Lease> lease = mFold.lease(duty);
        if (lease.isEmpty()) {
            mReadAt.remove(duty);
        } else if (lease.get().renewedMs() == timeMs) {
            mReadAt.put(duty, now);
            mFreeSince.remove(duty);
        }
    }

    private void settle(
            LeaseLogRecord record, LeaseRecord read, LeaseOperation operation, boolean counts) {
        String duty = operation.duty();
        boolean mine = read.node().equals(mSelf.value()) && read.incarnation() == mIncarnation;
        if (!mine) {
            if (counts && operation.action() == LeaseAction.ACQUIRE) {
                mHeld.remove(duty);
            }
            return;
        }
        Instant sentAt = mSentAt.get(read.id());
        if (!counts || operation.action() == LeaseAction.RELEASE) {
            mHeld.computeIfPresent(
                    duty, (key, held) -> held.fencing() == operation.fencing() ? null : held);
            return;
        }
        if (sentAt != null && mWanted.containsKey(duty)) {
            boolean acquired = operation.action() == LeaseAction.ACQUIRE;
            long fencing = acquired ? record.offset() : operation.fencing();
            Instant start = validityStart(sentAt, mClock.instant());
            Instant validUntil = start.plusMillis(operation.durationMs());
            hold(new HeldLease(duty, fencing, validUntil));
        }
    }

    /** Returns the instant from which the validity of a lease counts. */
    Instant validityStart(Instant sentAt, Instant readAt) {
        return sentAt;
    }

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
            if (mFold.hasLapsed(lease, logTimeMs)) {
                continue;
            }
            if (mWanted.containsKey(lease.duty())) {
                operations.add(
                        LeaseOperation.renew(
                                lease.duty(), lease.fencing(), mSettings.duration().toMillis()));
            } else {
                operations.add(LeaseOperation.release(lease.duty(), lease.fencing()));
            }
        }
    }

    private void addAcquisitions(List<LeaseOperation> operations, Instant now) {
        for (Candidacy candidacy : mWanted.values()) {
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

    private boolean isFree(String duty, Instant now) {
        Optional<Lease> lease = mFold.lease(duty);
        if (lease.isEmpty()) {
            long waitMs = mSettings.lapseMs(mSettings.duration().toMillis());
            return mFold.hasSeenStart() || !now.isBefore(mStartedAt.plusMillis(waitMs));
        }
        long lapseMs = mSettings.lapseMs(lease.get().durationMs());
        Instant readAt = mReadAt.getOrDefault(duty, mStartedAt);
        boolean lapsed = mFold.hasLapsed(lease.get(), mLogTime.estimateMs(now));
        return lapsed && !now.isBefore(readAt.plusMillis(lapseMs));
    }

    private void append(List<LeaseOperation> operations, Instant now) {
        mAppends++;
        String id = mSelf.value() + ":" + mIncarnation + ":" + mAppends;
        LeaseRecord record =
                new LeaseRecord(
                        LeaseRecord.FORMAT,
                        LeaseRecord.TYPE,
                        id,
                        mSelf.value(),
                        mIncarnation,
                        mLogTime.notAfterMs(now, mSettings.clockSlack()),
                        operations);
        mSentAt.put(id, now);
        if (mSentAt.size() > SENT_KEPT) {
            mSentAt.remove(mSentAt.keySet().iterator().next());
        }
        mAwaitedSince = Optional.of(now);
        mAppendedAt = OptionalLong.empty();
        mNextAppendAt = now.plus(SHORTEST_PAUSE);
        mOutbox.append(mAppends, LeaseCodec.write(record));
    }
}
