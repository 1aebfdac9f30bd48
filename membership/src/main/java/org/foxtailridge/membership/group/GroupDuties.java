package org.foxtailridge.membership.group;

import java.time.Clock;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * State machine of the duties that a group of the platform's log assigns to this node.
 *
 * <p>Each partition of the group's topic is one duty. The node holds a duty from the answer that
 * assigns it until one lifetime, less a margin, after the join of that answer was <em>sent</em>.
 * This requires that the group does not start the lifetime before it receives the join: the node
 * then stops before the group assigns the duty to another member. A partition that is no longer
 * assigned is released before the next join, which confirms the release by the generation that it
 * sends. Not thread-safe.
 *
 * <pre>{@code
 * GroupDuties duties = new GroupDuties(settings, clock, outbox);
 * duties.tick(); // several times a second
 * duties.onJoined(join, answer); // result of outbox.join(join, ...)
 * duties.held(0).ifPresent(duty -> act(duty.fencing()));
 * duties.leave(); // at a planned stop
 * }</pre>
 */
public final class GroupDuties {
    private final GroupSettings mSettings;
    private final Clock mClock;
    private final GroupOutbox mOutbox;
    private final Map<Integer, HeldDuty> mHeld = new TreeMap<>();
    private long mGeneration;
    private long mJoin;
    private boolean mPending;
    private boolean mHasLeft;
    private boolean mCandidate = true;
    private Instant mSentAt = Instant.MIN;
    private Instant mFirstJoinAt = Instant.MIN;

    /** Creates the state of a node that holds no duties and has not joined. */
    public GroupDuties(GroupSettings settings, Clock clock, GroupOutbox outbox) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
    }

    /** Drops expired duties, and sends the next join if one is due. */
    public void tick() {
        Instant now = mClock.instant();
        removeExpired(now);
        if (mPending && now.isAfter(mSentAt.plus(mSettings.answerTimeout()))) {
            mPending = false;
        }
        boolean due = mSentAt.equals(Instant.MIN) || !now.isBefore(nextJoinAt());
        if (mHasLeft) {
            return;
        }
        if (mPending) {
            return;
        }
        if (!mCandidate && mHeld.isEmpty()) {
            withdraw();
        } else if (due) {
            join(now);
        }
    }

    /**
     * Sets whether this node is a candidate for duties; it is one at first. A node that is none
     * keeps the duties that it holds, and joins no more once it holds none.
     *
     * @param candidate whether the node joins the group
     */
    public void setCandidate(boolean candidate) {
        mCandidate = candidate;
    }

    /** Applies the assignment that answers a join; ignores the answer to an earlier join. */
    public void onJoined(long join, GroupAssignment answer) {
        if (join != mJoin || !mPending || mHasLeft) {
            return;
        }
        mPending = false;
        Instant now = mClock.instant();
        Instant validUntil = mSentAt.plus(mSettings.lifetime()).minus(mSettings.margin());
        removeExpired(now);
        boolean changed = answer.generation() != mGeneration;
        mGeneration = answer.generation();
        releaseUnassigned(answer.partitions());
        boolean delayPassed = !mSentAt.isBefore(mFirstJoinAt.plus(mSettings.acquisitionDelay()));
        if (delayPassed && now.isBefore(validUntil)) {
            answer.partitions().forEach(partition -> hold(partition, now, validUntil));
        }
        if (changed) {
            // Confirms at once that the partitions taken from this member are released.
            join(now);
        }
    }

    /** Handles a failed join; the next one follows after the join interval. */
    public void onJoinFailed(long join) {
        if (join == mJoin) {
            mPending = false;
        }
    }

    /** Releases all duties and leaves the group for good. */
    public void leave() {
        if (mHasLeft) {
            return;
        }
        mHasLeft = true;
        List.copyOf(mHeld.values()).forEach(this::release);
        mOutbox.leaveGroup();
    }

    /** Returns the duty of a partition if this node may act on it now. */
    public Optional<HeldDuty> held(int partition) {
        Instant now = mClock.instant();
        return Optional.ofNullable(mHeld.get(partition))
                .filter(duty -> now.isBefore(duty.validUntil()));
    }

    /** Returns all duties held, including those that have expired since the last tick. */
    public Collection<HeldDuty> heldDuties() {
        return List.copyOf(mHeld.values());
    }

    /** Returns the last generation that this node has applied; 0 for none. */
    public long generation() {
        return mGeneration;
    }

    /**
     * Stops joining, so that the group removes this node after one lifetime. It does not leave: a
     * leave that the log executes late could take duties away that the node has acquired since.
     */
    private void withdraw() {
        mSentAt = Instant.MIN;
        mGeneration = 0;
        mFirstJoinAt = Instant.MIN;
    }

    private Instant nextJoinAt() {
        return mSentAt.plus(mSettings.joinInterval());
    }

    private void join(Instant now) {
        mJoin++;
        mFirstJoinAt = mFirstJoinAt.equals(Instant.MIN) ? now : mFirstJoinAt;
        mPending = true;
        mSentAt = now;
        mOutbox.join(mJoin, mGeneration);
    }

    private void removeExpired(Instant now) {
        for (HeldDuty duty : List.copyOf(mHeld.values())) {
            if (!now.isBefore(duty.validUntil())) {
                mHeld.remove(duty.partition());
                mOutbox.expired(duty);
            }
        }
    }

    private void releaseUnassigned(Set<Integer> assigned) {
        for (HeldDuty duty : List.copyOf(mHeld.values())) {
            if (!assigned.contains(duty.partition())) {
                release(duty);
            }
        }
    }

    private void hold(int partition, Instant now, Instant validUntil) {
        HeldDuty held = mHeld.get(partition);
        if (held != null) {
            HeldDuty renewed = held.renewed(validUntil);
            mHeld.put(partition, renewed);
            mOutbox.renewed(renewed);
            return;
        }
        HeldDuty acquired = new HeldDuty(partition, mGeneration, now, validUntil);
        mHeld.put(partition, acquired);
        mOutbox.acquired(acquired);
    }

    private void release(HeldDuty duty) {
        mHeld.remove(duty.partition());
        mOutbox.released(duty);
    }
}
