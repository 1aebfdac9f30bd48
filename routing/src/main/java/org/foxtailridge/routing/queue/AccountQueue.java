package org.foxtailridge.routing.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * FIFO queue of one client account in a {@link WeightedFairQueue}, with the account's virtual time.
 *
 * <p>The virtual time is the number of tokens served divided by the account's weight. Interactive
 * requests that have waited longer than {@link QueueSettings#overdueAfterWaitMilliseconds} are
 * overdue: requests that can still be answered in time are served before them, but every fourth
 * turn goes to an overdue request. Confined to the scheduler's thread.
 */
final class AccountQueue {
    private static final int ON_TIME_TURNS_PER_OVERDUE_TURN = 3;

    private final String mAccount;
    private final Deque<QueuedRequest> mOnTime = new ArrayDeque<>();
    private final Deque<QueuedRequest> mOverdue = new ArrayDeque<>();
    private double mWeight;
    private double mVirtualTime;
    private long mTokens;
    private int mOnTimeTurns;

    AccountQueue(String account, double weight) {
        mAccount = account;
        mWeight = weight;
    }

    String account() {
        return mAccount;
    }

    double weight() {
        return mWeight;
    }

    void setWeight(double weight) {
        mWeight = weight;
    }

    /** Returns the tokens served, divided by the weight in force when each was charged. */
    double virtualTime() {
        return mVirtualTime;
    }

    /** Returns the tokens of all waiting requests, prompts and maximum answers together. */
    long tokens() {
        return mTokens;
    }

    boolean isEmpty() {
        return mOnTime.isEmpty() && mOverdue.isEmpty();
    }

    /**
     * Moves requests that have become overdue to the overdue queue and returns the request to serve
     * next without removing it; null when the queue is empty.
     */
    QueuedRequest peekNext(QueueSettings settings, long now) {
        while (!mOnTime.isEmpty() && mOnTime.peekFirst().isOverdue(settings, now)) {
            mOverdue.addLast(mOnTime.pollFirst());
        }
        boolean overdueTurn = mOnTimeTurns >= ON_TIME_TURNS_PER_OVERDUE_TURN || mOnTime.isEmpty();
        return overdueTurn && !mOverdue.isEmpty() ? mOverdue.peekFirst() : mOnTime.peekFirst();
    }

    /** Returns the newest on-time request, else the newest overdue one; null when empty. */
    QueuedRequest newest() {
        return mOnTime.isEmpty() ? mOverdue.peekLast() : mOnTime.peekLast();
    }

    void forEach(Consumer<QueuedRequest> action) {
        mOverdue.forEach(action);
        mOnTime.forEach(action);
    }

    /** Adds a request at the end, or at the head if it may have begun and can't be refused. */
    void add(QueuedRequest queued) {
        if (queued.mayHaveBegun()) {
            mOnTime.addFirst(queued);
        } else {
            mOnTime.addLast(queued);
        }
        mTokens += queued.tokens();
    }

    boolean remove(QueuedRequest queued) {
        boolean wasOverdue = mOverdue.remove(queued);
        if (!wasOverdue && !mOnTime.remove(queued)) {
            return false;
        }
        mTokens -= queued.tokens();
        return true;
    }

    /** Removes a request that is dispatched and charges its tokens to the account. */
    void serve(QueuedRequest queued) {
        mOnTimeTurns = mOverdue.peekFirst() == queued ? 0 : mOnTimeTurns + 1;
        remove(queued);
        charge(queued.tokens());
    }

    /** Raises the virtual time to the given one if it is behind. */
    void raiseVirtualTimeTo(double virtualTime) {
        mVirtualTime = Math.max(mVirtualTime, virtualTime);
    }

    /** Adds tokens to the virtual time; a negative number refunds tokens. */
    void charge(double tokens) {
        mVirtualTime += tokens / mWeight;
    }
}
