package org.foxtailridge.objectives.handover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.protocol.objectives.BurnCounts;
import org.foxtailridge.protocol.objectives.HandedCounts;
import org.foxtailridge.protocol.objectives.HandedCountsAccepted;
import org.foxtailridge.protocol.objectives.ObjectivesMessage;

/**
 * Hands a node's counts to one other node at a planned stop, and takes those of others. Used by one
 * thread; does no input or output.
 *
 * <p>The counts are sent again until the receiver acknowledges them, always to the same receiver,
 * which takes each handover once. A stopping node that is never acknowledged keeps its counts; they
 * are lost with it and are then missing from the report.
 *
 * <pre>{@code
 * handover.begin("node-2", "node-1-42");
 * handover.tick(); // sends again
 * handover.isDone();
 * }</pre>
 */
public class CountsHandover {
    private static final int MAXIMUM_REMEMBERED = 4_096;
    private static final int MAXIMUM_REPORTED = 64;

    private final ObjectiveCounters mCounters;
    private final Clock mClock;
    private final Duration mRetryInterval;
    private final HandoverOutbox mOutbox;
    private final Set<String> mTaken = new LinkedHashSet<>();
    private String mReceiver;
    private HandedCounts mHanded;
    private Instant mSentAt = Instant.MIN;
    private boolean mDone;

    /**
     * Creates the handover of one node.
     *
     * @param counters counters of the node
     * @param clock clock of the node
     * @param retryInterval time without acknowledgement after which counts are sent again
     * @param outbox takes messages for other nodes
     */
    public CountsHandover(
            ObjectiveCounters counters,
            Clock clock,
            Duration retryInterval,
            HandoverOutbox outbox) {
        mCounters = Objects.requireNonNull(counters, "counters");
        mClock = Objects.requireNonNull(clock, "clock");
        mRetryInterval = Objects.requireNonNull(retryInterval, "retryInterval");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
    }

    /**
     * Hands the counts on. Nothing must be recorded on this node afterwards.
     *
     * @param receiver node that gets the counts
     * @param id unique identifier of this handover
     */
    public void begin(String receiver, String id) {
        if (mHanded != null) {
            throw new IllegalStateException("expected one handover but a second was begun");
        }
        mReceiver = Objects.requireNonNull(receiver, "receiver");
        mHanded = HandedCounts.newBuilder().setId(id).setCounts(mCounters.counts()).build();
        send();
    }

    /** Sends the counts again when they have not been acknowledged in time. */
    public void tick() {
        boolean waiting = mHanded != null && !mDone;
        if (waiting && !mClock.instant().isBefore(mSentAt.plus(mRetryInterval))) {
            send();
        }
    }

    /** Returns whether the receiver has acknowledged the counts. */
    public boolean isDone() {
        return mDone;
    }

    /**
     * Returns the node's counts for the report, marked so that counts that are on their way to
     * another node are added once.
     */
    public BurnCounts counts() {
        BurnCounts.Builder counts = mCounters.counts().toBuilder();
        int skipped = Math.max(0, mTaken.size() - MAXIMUM_REPORTED);
        counts.addAllAbsorbedIds(mTaken.stream().skip(skipped).toList());
        if (mHanded != null && !mDone) {
            counts.setHandingOnId(mHanded.getId());
        }
        return counts.build();
    }

    /** Handles a message of another node. */
    public void handle(String from, ObjectivesMessage message) {
        switch (message.getMessageCase()) {
            case HANDED_COUNTS -> take(from, message.getHandedCounts());
            case HANDED_COUNTS_ACCEPTED -> accepted(message.getHandedCountsAccepted());
            default -> {
                return;
            }
        }
    }

    /** Returns whether counts are to be added; false for a handover that was taken before. */
    boolean takesFirst(String id) {
        if (!mTaken.add(id)) {
            return false;
        }
        if (mTaken.size() > MAXIMUM_REMEMBERED) {
            mTaken.remove(mTaken.iterator().next());
        }
        return true;
    }

    private void take(String from, HandedCounts handed) {
        if (mHanded != null) {
            return;
        }
        if (takesFirst(handed.getId())) {
            mCounters.absorb(handed.getCounts());
        }
        HandedCountsAccepted accepted =
                HandedCountsAccepted.newBuilder().setId(handed.getId()).build();
        mOutbox.send(
                from, ObjectivesMessage.newBuilder().setHandedCountsAccepted(accepted).build());
    }

    private void accepted(HandedCountsAccepted accepted) {
        if (mHanded != null && !mDone && mHanded.getId().equals(accepted.getId())) {
            mDone = true;
            mCounters.clear();
        }
    }

    private void send() {
        mSentAt = mClock.instant();
        mOutbox.send(mReceiver, ObjectivesMessage.newBuilder().setHandedCounts(mHanded).build());
    }
}
