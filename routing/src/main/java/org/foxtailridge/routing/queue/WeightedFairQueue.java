package org.foxtailridge.routing.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Requests of one class of work for one target, in fair shares among client accounts.
 *
 * <p>An account that was idle starts at the level of the account served last, so that it neither
 * saves up what it left unused nor pays for it.
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

    /** Returns the first request of each account, the one to serve first at the front. */
    List<QueuedRequest> heads(long now) {
        List<QueuedRequest> heads = new ArrayList<>();
        for (AccountQueue account : mOrder.order(waiting())) {
            heads.add(account.peekNext(mSettings, now));
        }
        return heads;
    }

    /** Removes a request that is sent to an endpoint and charges its tokens. */
    void serve(QueuedRequest queued) {
        AccountQueue account = mAccounts.get(queued.account());
        mVirtualTime = Math.max(mVirtualTime, account.virtualTime());
        account.serve(queued);
        mSize--;
        removeIdleAccounts();
    }

    /** Corrects the charge of a request by what it used. */
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

    /** Returns the tokens of all requests that wait. */
    long tokens() {
        return mAccounts.values().stream().mapToLong(AccountQueue::tokens).sum();
    }

    /** Returns the tokens that are served before a new request of the account, at fair shares. */
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

    private void removeIdleAccounts() {
        mAccounts
                .values()
                .removeIf(account -> account.isEmpty() && account.virtualTime() <= mVirtualTime);
    }
}
