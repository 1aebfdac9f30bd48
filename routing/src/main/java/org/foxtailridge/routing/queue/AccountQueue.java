package org.foxtailridge.routing.queue;

import java.util.ArrayDeque;
import java.util.Deque;

/** Requests of one client account in one lane, and what it was served. */
final class AccountQueue {
    private final String mAccount;
    private final Deque<QueuedRequest> mRequests = new ArrayDeque<>();
    private double mWeight;
    private double mServedForWeight;
    private long mTokens;

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

    Deque<QueuedRequest> requests() {
        return mRequests;
    }

    void add(QueuedRequest queued) {
        if (queued.mayNotBeRefused()) {
            mRequests.addFirst(queued);
        } else {
            mRequests.addLast(queued);
        }
        mTokens += queued.tokens();
    }

    boolean remove(QueuedRequest queued) {
        boolean removed = mRequests.remove(queued);
        if (removed) {
            mTokens -= queued.tokens();
        }
        return removed;
    }

    void raiseServedTo(double floor) {
        mServedForWeight = Math.max(mServedForWeight, floor);
    }

    void charge(double tokens) {
        mServedForWeight += tokens / mWeight;
    }
}
