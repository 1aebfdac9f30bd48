package org.foxtailridge.routing.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Weighted fair queue of the requests of one work class for one model or service.
 *
 * <p>Client accounts share the capacity in proportion to their weights, counted in tokens. The
 * virtual time of the queue is the highest one at which an account was served. An account that was
 * idle starts at the queue's virtual time, so that capacity that it left unused gives it neither a
 * credit nor a debt. Confined to the scheduler's thread.
 */
final class WeightedFairQueue {
    private final Map<String, AccountQueue> mAccounts = new LinkedHashMap<>();
    private final QueueSettings mSettings;
    private final ToDoubleFunction<String> mWeights;
    private final AccountOrder mOrder;
    private double mVirtualTime;
    private int mSize;

    WeightedFairQueue(
            QueueSettings settings, ToDoubleFunction<String> weights, AccountOrder order) {
        mSettings = settings;
        mWeights = weights;
        mOrder = order;
    }

    int size() {
        return mSize;
    }

    void add(QueuedRequest queued) {
        AccountQueue account = account(queued.account());
        if (account.isEmpty()) {
            account.raiseVirtualTimeTo(mVirtualTime);
            account.setWeight(mWeights.applyAsDouble(queued.account()));
        }
        account.add(queued);
        mSize++;
    }

    /** Returns the head of each account's queue, in the order in which accounts are served. */
    List<QueuedRequest> heads(long now) {
        List<QueuedRequest> heads = new ArrayList<>();
        for (AccountQueue account : mOrder.order(waiting())) {
            heads.add(account.peekNext(mSettings, now));
        }
        return heads;
    }

    /** Removes a request that is dispatched and charges its tokens to its account. */
    void serve(QueuedRequest queued) {
        AccountQueue account = mAccounts.get(queued.account());
        mVirtualTime = Math.max(mVirtualTime, account.virtualTime());
        account.serve(queued);
        mSize--;
        removeIdleAccounts();
    }

    /**
     * Corrects the charge of a dispatched request once its use is known; does nothing when the
     * account is no longer kept.
     *
     * @param accountName name of the client account
     * @param correctionTokens tokens used minus tokens charged
     */
    void adjustCharge(String accountName, long correctionTokens) {
        AccountQueue account = mAccounts.get(accountName);
        if (account != null) {
            account.charge(correctionTokens);
        }
    }

    boolean remove(QueuedRequest queued) {
        AccountQueue account = mAccounts.get(queued.account());
        boolean removed = account != null && account.remove(queued);
        mSize -= removed ? 1 : 0;
        return removed;
    }

    Collection<AccountQueue> accounts() {
        return mAccounts.values();
    }

    /** Returns the tokens of all waiting requests. */
    long tokens() {
        return mAccounts.values().stream().mapToLong(AccountQueue::tokens).sum();
    }

    /**
     * Returns the tokens that are served until the last request of the account has left, when every
     * account gets its share. Other accounts count with at most their share of that time.
     */
    double tokensAhead(String accountName) {
        AccountQueue own = mAccounts.get(accountName);
        long ownTokens = own == null ? 0 : own.tokens();
        double weight = own == null ? mWeights.applyAsDouble(accountName) : own.weight();
        double ahead = ownTokens;
        for (AccountQueue other : mAccounts.values()) {
            if (other != own) {
                ahead += Math.min(other.tokens(), ownTokens * other.weight() / weight);
            }
        }
        return ahead;
    }

    private AccountQueue account(String name) {
        return mAccounts.computeIfAbsent(
                name, unused -> new AccountQueue(name, mWeights.applyAsDouble(name)));
    }

    private List<AccountQueue> waiting() {
        List<AccountQueue> waiting = new ArrayList<>();
        for (AccountQueue account : mAccounts.values()) {
            if (!account.isEmpty()) {
                waiting.add(account);
            }
        }
        return waiting;
    }

    /**
     * Removes accounts with an empty queue whose virtual time is not ahead of the queue's: they
     * would start at the queue's virtual time anyway.
     */
    private void removeIdleAccounts() {
        mAccounts
                .values()
                .removeIf(account -> account.isEmpty() && account.virtualTime() <= mVirtualTime);
    }
}
