package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * FIFO queue of one client account's reservations that wait for tokens on this node. A reservation
 * much smaller than the first one may overtake the queue.
 */
final class ReservationQueue {
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long PERSISTENT_BACKLOG_DIVISOR = 4;
    // A reservation may overtake one that is at least this many times as large. A call that does
    // not stream needs at most a fifteenth of a stream's tokens, and its caller waits for only a
    // second.
    private static final long OVERTAKING_DIVISOR = 8;

    private final Deque<WaitingReservation> mWaiting = new ArrayDeque<>();
    private long mTokens;
    private long mNotEmptySinceMilliseconds;

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    int size() {
        return mWaiting.size();
    }

    /** Returns the sum of the tokens of all waiting reservations. */
    long tokens() {
        return mTokens;
    }

    WaitingReservation first() {
        return mWaiting.getFirst();
    }

    /** Returns whether a reservation is small enough to be put before the first one. */
    boolean mayOvertake(long tokens) {
        return mWaiting.isEmpty() || tokens * OVERTAKING_DIVISOR <= mWaiting.getFirst().tokens();
    }

    void add(WaitingReservation reservation, boolean first, long nowMilliseconds) {
        if (mWaiting.isEmpty()) {
            mNotEmptySinceMilliseconds = nowMilliseconds;
        }
        if (first) {
            mWaiting.addFirst(reservation);
        } else {
            mWaiting.addLast(reservation);
        }
        mTokens += reservation.tokens();
    }

    WaitingReservation removeFirst() {
        WaitingReservation first = mWaiting.removeFirst();
        mTokens -= first.tokens();
        return first;
    }

    /**
     * Returns the longest time that a new reservation may wait, in milliseconds.
     *
     * <p>Usually this is the maximum wait, which bridges a short lack of tokens. Once the queue has
     * not been empty for the maximum wait, demand exceeds supply, and a long queue would only add
     * latency to every request. From then on a new reservation may wait a quarter of the maximum.
     */
    long allowedWaitMilliseconds(long maximumMilliseconds, long nowMilliseconds) {
        boolean isPersistent =
                !mWaiting.isEmpty()
                        && nowMilliseconds - mNotEmptySinceMilliseconds >= maximumMilliseconds;
        return isPersistent
                ? maximumMilliseconds / PERSISTENT_BACKLOG_DIVISOR
                : maximumMilliseconds;
    }

    /**
     * Returns the expected time until a new reservation gets its tokens, in milliseconds.
     *
     * @param tokens tokens of the reservation
     * @param tokensPerSecond expected supply of tokens on this node for the account
     */
    long expectedWaitMilliseconds(long tokens, long tokensPerSecond) {
        return millisecondsFor(mayOvertake(tokens) ? tokens : mTokens + tokens, tokensPerSecond);
    }

    private static long millisecondsFor(long tokens, long tokensPerSecond) {
        return tokens * MILLISECONDS_PER_SECOND / Math.max(1, tokensPerSecond);
    }
}
