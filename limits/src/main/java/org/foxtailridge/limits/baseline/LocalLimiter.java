package org.foxtailridge.limits.baseline;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.limits.bucket.TokenBucket;
import org.foxtailridge.protocol.limits.LimitsMessage;

/** A limiter that decides at once from buckets in its own memory and sends no messages. */
abstract class LocalLimiter implements TokenLimiter {
    private final Clock mClock;
    private final int mMaximumOpenReservations;
    private final Map<Long, Long> mStamps = new HashMap<>();
    private long mNextReservation = 1;

    LocalLimiter(Clock clock, int maximumOpenReservations) {
        mClock = Objects.requireNonNull(clock, "clock");
        mMaximumOpenReservations = maximumOpenReservations;
    }

    /** Returns the bucket of a client account, or null when it has none. */
    abstract TokenBucket bucketOf(ClientAccountName account);

    /** Returns the instant of the clock in milliseconds. */
    final long now() {
        return mClock.millis();
    }

    @Override
    public final void reserve(
            ClientAccountName account, long tokens, Consumer<Admission> decision) {
        decision.accept(decide(account, tokens));
    }

    private Admission decide(ClientAccountName account, long tokens) {
        TokenBucket bucket = bucketOf(account);
        if (bucket == null) {
            return new Admission.UnknownAccount();
        }
        if (tokens > bucket.capacity()) {
            return new Admission.LargerThanBurst(bucket.capacity());
        }
        if (mStamps.size() >= mMaximumOpenReservations) {
            return new Admission.Overloaded();
        }
        bucket.advance(now());
        if (!bucket.take(tokens)) {
            return new Admission.Refused(Duration.ofMillis(bucket.millisecondsUntil(tokens)));
        }
        Reservation reservation = new Reservation(mNextReservation++, account, tokens);
        mStamps.put(reservation.id(), bucket.stamp());
        return new Admission.Granted(reservation);
    }

    @Override
    public final void settle(Reservation reservation, long usedTokens) {
        Long stamp = mStamps.remove(reservation.id());
        TokenBucket bucket = bucketOf(reservation.account());
        if (stamp == null || bucket == null) {
            return;
        }
        bucket.advance(now());
        long unused = reservation.tokens() - usedTokens;
        if (unused > 0) {
            bucket.giveBack(stamp, unused);
        } else {
            bucket.take(Math.min(-unused, bucket.level()));
        }
    }

    @Override
    public void membersChanged(Set<NodeName> members) {}

    @Override
    public final void homeLeaseHeld(HomeLease lease) {}

    @Override
    public final void homeNodeChanged(ClientAccountName account, NodeName home, long fencing) {}

    @Override
    public final void stopGranting(ClientAccountName account) {}

    @Override
    public final void receive(NodeName sender, LimitsMessage message) {}

    @Override
    public final void tick() {}
}
