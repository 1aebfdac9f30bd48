package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;

/** Reservations of one client account that wait for tokens at one node, in the order they came. */
final class ReservationQueue {
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long STANDING_DIVISOR = 4;
    // A plain call counts as a fifteenth of a stream or less, and its caller waits a second only.
    private static final long SMALL_DIVISOR = 8;

    private final Deque<WaitingReservation> mWaiting = new ArrayDeque<>();
    private long mTokens;
    private long mBusySinceMilliseconds;

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    int size() {
        return mWaiting.size();
    }

    /** Returns the tokens that all of them need together. */
    long tokens() {
        return mTokens;
    }

    WaitingReservation first() {
        return mWaiting.getFirst();
    }

    /** Returns whether a reservation is so small that it need not wait behind the first one. */
    boolean mayOvertake(long tokens) {
        return mWaiting.isEmpty() || tokens * SMALL_DIVISOR <= mWaiting.getFirst().tokens();
    }

    void add(WaitingReservation reservation, boolean first, long nowMilliseconds) {
        if (mWaiting.isEmpty()) {
            mBusySinceMilliseconds = nowMilliseconds;
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
     * Returns for how long a new reservation may wait, in milliseconds. A short want of tokens is
     * waited out; once reservations have been waiting without a break for as long as the longest
     * wait, the account asks for more than it gets, and a long queue would only make every answer
     * late: a new one may wait a quarter of it.
     */
    long allowedWaitMilliseconds(long longestMilliseconds, long nowMilliseconds) {
        boolean standing =
                !mWaiting.isEmpty()
                        && nowMilliseconds - mBusySinceMilliseconds >= longestMilliseconds;
        return standing ? longestMilliseconds / STANDING_DIVISOR : longestMilliseconds;
    }

    /**
     * Returns the time until a new reservation is likely to have its tokens, in milliseconds.
     *
     * @param tokens tokens that it needs
     * @param tokensPerSecond tokens that this node is likely to get for the account
     */
    long expectedWaitMilliseconds(long tokens, long tokensPerSecond) {
        return millisecondsFor(mayOvertake(tokens) ? tokens : mTokens + tokens, tokensPerSecond);
    }

    private static long millisecondsFor(long tokens, long tokensPerSecond) {
        return tokens * MILLISECONDS_PER_SECOND / Math.max(1, tokensPerSecond);
    }
}
