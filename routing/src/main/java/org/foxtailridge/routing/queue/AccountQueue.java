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
    private static final int FRESH_FOR_EACH_LATE = 3;

    private final String mAccount;
    private final Deque<QueuedRequest> mFresh = new ArrayDeque<>();
    private final Deque<QueuedRequest> mLate = new ArrayDeque<>();
    private double mWeight;
    private double mServedForWeight;
    private long mTokens;
    private int mServedFresh;

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
    double servedForWeight() {
        return mServedForWeight;
    }

    /** Returns the tokens of the requests that wait. */
    long tokens() {
        return mTokens;
    }

    boolean isEmpty() {
        return mFresh.isEmpty() && mLate.isEmpty();
    }

    /** Returns the request to serve next, null when there is none. */
    QueuedRequest first(QueueSettings settings, long now) {
        while (!mFresh.isEmpty() && mFresh.peekFirst().isLate(settings, now)) {
            mLate.addLast(mFresh.pollFirst());
        }
        boolean turnOfLate = mServedFresh >= FRESH_FOR_EACH_LATE || mFresh.isEmpty();
        return turnOfLate && !mLate.isEmpty() ? mLate.peekFirst() : mFresh.peekFirst();
    }

    /** Returns the request that arrived last. */
    QueuedRequest newest() {
        return mFresh.isEmpty() ? mLate.peekLast() : mFresh.peekLast();
    }

    void forEach(Consumer<QueuedRequest> action) {
        mLate.forEach(action);
        mFresh.forEach(action);
    }

    void add(QueuedRequest queued) {
        if (queued.mayNotBeRefused()) {
            mFresh.addFirst(queued);
        } else {
            mFresh.addLast(queued);
        }
        mTokens += queued.tokens();
    }

    boolean remove(QueuedRequest queued) {
        boolean late = mLate.remove(queued);
        if (!late && !mFresh.remove(queued)) {
            return false;
        }
        mTokens -= queued.tokens();
        return true;
    }

    /** Removes a request that is sent to an endpoint and charges its tokens. */
    void serve(QueuedRequest queued) {
        mServedFresh = mLate.peekFirst() == queued ? 0 : mServedFresh + 1;
        remove(queued);
        charge(queued.tokens());
    }

    void raiseServedTo(double floor) {
        mServedForWeight = Math.max(mServedForWeight, floor);
    }

    void charge(double tokens) {
        mServedForWeight += tokens / mWeight;
    }
}
