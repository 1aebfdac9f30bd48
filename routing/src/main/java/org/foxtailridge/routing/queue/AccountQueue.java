package org.foxtailridge.routing.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Requests of one client account in one lane, and what it was served.
 *
 * <p>Requests that can still be answered in time go before those that have waited too long, which
 * have every fourth turn.
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

    /** Returns the tokens served, divided by the weight. */
    double virtualTime() {
        return mVirtualTime;
    }

    /** Returns the tokens of the requests that wait. */
    long tokens() {
        return mTokens;
    }

    boolean isEmpty() {
        return mOnTime.isEmpty() && mOverdue.isEmpty();
    }

    /** Returns the request to serve next, null when there is none. */
    QueuedRequest peekNext(QueueSettings settings, long now) {
        while (!mOnTime.isEmpty() && mOnTime.peekFirst().isOverdue(settings, now)) {
            mOverdue.addLast(mOnTime.pollFirst());
        }
        boolean overdueTurn = mOnTimeTurns >= ON_TIME_TURNS_PER_OVERDUE_TURN || mOnTime.isEmpty();
        return overdueTurn && !mOverdue.isEmpty() ? mOverdue.peekFirst() : mOnTime.peekFirst();
    }

    /** Returns the request that arrived last. */
    QueuedRequest newest() {
        return mOnTime.isEmpty() ? mOverdue.peekLast() : mOnTime.peekLast();
    }

    void forEach(Consumer<QueuedRequest> action) {
        mOverdue.forEach(action);
        mOnTime.forEach(action);
    }

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

    /** Removes a request that is sent to an endpoint and charges its tokens. */
    void serve(QueuedRequest queued) {
        mOnTimeTurns = mOverdue.peekFirst() == queued ? 0 : mOnTimeTurns + 1;
        remove(queued);
        charge(queued.tokens());
    }

    void raiseVirtualTimeTo(double virtualTime) {
        mVirtualTime = Math.max(mVirtualTime, virtualTime);
    }

    void charge(double tokens) {
        mVirtualTime += tokens / mWeight;
    }
}
