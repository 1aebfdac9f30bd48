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
 * The duties that a group of the platform's log gives to this node.
 *
 * <p>Each partition of the group's topic stands for a duty. A duty is held from the answer that
 * lists it until one lifetime after the join before it was <em>sent</em>, less a margin, so that
 * the group gives it to nobody else meanwhile. A partition that is no longer listed is given up
 * before the next join says so to the group. Confined to one thread.
 *
 * <pre>{@code
 * GroupDuties duties = new GroupDuties(settings, clock, outbox);
 * duties.tick(); // often
 * duties.joined(join, answer); // what outbox.join(join, ...) led to
 * duties.held(0).ifPresent(duty -> act(duty.fencing()));
 * duties.leave(); // a planned stop
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
    private boolean mLeft;
    private Instant mSentAt = Instant.MIN;
    private Instant mFirstJoinAt = Instant.MIN;

    /** Creates duties that hold nothing yet. */
    public GroupDuties(GroupSettings settings, Clock clock, GroupOutbox outbox) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
    }

    /** Lets time pass: ends what has run out and joins when a join is due. */
    public void tick() {
        Instant now = mClock.instant();
        endLapsed(now);
        if (mPending && now.isAfter(mSentAt.plus(mSettings.answerTimeout()))) {
            mPending = false;
        }
        boolean due = mSentAt.equals(Instant.MIN) || !now.isBefore(nextJoinAt());
        if (!mLeft && !mPending && due) {
            join(now);
        }
    }

    /** Takes the answer to a join; an answer to an earlier one has no effect. */
    public void onJoined(long join, GroupAssignment answer) {
        if (join != mJoin || !mPending || mLeft) {
            return;
        }
        mPending = false;
        Instant now = mClock.instant();
        Instant until = mSentAt.plus(mSettings.lifetime()).minus(mSettings.margin());
        endLapsed(now);
        boolean changed = answer.generation() != mGeneration;
        mGeneration = answer.generation();
        giveUpUnlisted(answer.partitions());
        boolean settled = !mSentAt.isBefore(mFirstJoinAt.plus(mSettings.acquisitionDelay()));
        if (settled && now.isBefore(until)) {
            answer.partitions().forEach(partition -> hold(partition, now, until));
        }
        if (changed) {
            // Tells the group that what was taken away is not used any more.
            join(now);
        }
    }

    /** Takes the failure of a join. */
    public void onJoinFailed(long join) {
        if (join == mJoin) {
            mPending = false;
        }
    }

    /** Gives up all duties and leaves the group. */
    public void leave() {
        if (mLeft) {
            return;
        }
        mLeft = true;
        List.copyOf(mHeld.values()).forEach(this::lose);
        mOutbox.leaveGroup();
    }

    /** Returns the duty of a partition while this node may act on it. */
    public Optional<HeldDuty> held(int partition) {
        Instant now = mClock.instant();
        return Optional.ofNullable(mHeld.get(partition))
                .filter(duty -> now.isBefore(duty.validUntil()));
    }

    /** Returns all duties held, those that have just run out included. */
    public Collection<HeldDuty> heldDuties() {
        return List.copyOf(mHeld.values());
    }

    /** Returns the last generation of the group that this node knows; 0 for none. */
    public long generation() {
        return mGeneration;
    }

    private Instant nextJoinAt() {
        return mSentAt.plus(mSettings.joinInterval());
    }

    private void join(Instant now) {
        mJoin++;
        mFirstJoinAt = mJoin == 1 ? now : mFirstJoinAt;
        mPending = true;
        mSentAt = now;
        mOutbox.join(mJoin, mGeneration);
    }

    private void endLapsed(Instant now) {
        for (HeldDuty duty : List.copyOf(mHeld.values())) {
            if (!now.isBefore(duty.validUntil())) {
                mHeld.remove(duty.partition());
                mOutbox.expired(duty);
            }
        }
    }

    private void giveUpUnlisted(Set<Integer> listed) {
        for (HeldDuty duty : List.copyOf(mHeld.values())) {
            if (!listed.contains(duty.partition())) {
                lose(duty);
            }
        }
    }

    private void hold(int partition, Instant now, Instant until) {
        HeldDuty held = mHeld.get(partition);
        if (held != null) {
            HeldDuty renewed = held.renewed(until);
            mHeld.put(partition, renewed);
            mOutbox.renewed(renewed);
            return;
        }
        HeldDuty taken = new HeldDuty(partition, mGeneration, now, until);
        mHeld.put(partition, taken);
        mOutbox.acquired(taken);
    }

    private void lose(HeldDuty duty) {
        mHeld.remove(duty.partition());
        mOutbox.released(duty);
    }
}
