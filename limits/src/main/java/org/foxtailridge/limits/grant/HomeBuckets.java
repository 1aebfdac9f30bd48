package org.foxtailridge.limits.grant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimiterOutbox;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.protocol.limits.GrantAnswer;
import org.foxtailridge.protocol.limits.GrantRecall;
import org.foxtailridge.protocol.limits.GrantRequest;
import org.foxtailridge.protocol.limits.HomeHandover;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Buckets of the client accounts whose home node is this node, and the newest known home node of
 * every client account.
 *
 * <p>When another node takes over a lease, the bucket is closed and its state sent to that node in
 * a {@code HomeHandover}. As messages may be lost, it is sent {@link #HANDOVER_SENDS} times, with
 * the later copies at the next ticks.
 */
final class HomeBuckets {
    private static final int HANDOVER_SENDS = 3;

    private final LimiterSettings mSettings;
    private final GrantRules mRules;
    private final LimiterOutbox mOutbox;
    private final Map<ClientAccountName, LimitSplit> mSplits = new HashMap<>();
    private final Map<ClientAccountName, HomeLease> mLeases = new HashMap<>();
    private final Map<ClientAccountName, HomeBucket> mBuckets = new HashMap<>();
    // Handovers that arrived before this node had the lease or the limit.
    private final Map<ClientAccountName, HomeHandover> mEarlyHandovers = new HashMap<>();
    private final Map<ClientAccountName, HomeNode> mHomeNodes = new HashMap<>();
    private final Map<ClientAccountName, Integer> mHandoverSendsLeft = new HashMap<>();

    HomeBuckets(LimiterSettings settings, GrantRules rules, LimiterOutbox outbox) {
        mSettings = settings;
        mRules = rules;
        mOutbox = outbox;
    }

    /** Returns the newest known home node of a client account. */
    Optional<HomeNode> homeNodeOf(ClientAccountName account) {
        return Optional.ofNullable(mHomeNodes.get(account));
    }

    void limitChanged(ClientAccountName account, LimitSplit split, long nowMilliseconds) {
        mSplits.put(account, split);
        HomeBucket bucket = mBuckets.get(account);
        if (bucket != null) {
            bucket.setLimit(split, nowMilliseconds);
        } else if (mLeases.containsKey(account)) {
            open(mLeases.get(account), nowMilliseconds);
        }
    }

    /** Opens a bucket under a new lease of this node, or renews the lease of the open one. */
    void homeLeaseHeld(HomeLease lease, long nowMilliseconds) {
        if (!isNewest(lease.account(), lease.fencing())) {
            return;
        }
        mHomeNodes.put(lease.account(), new HomeNode(mSettings.node(), lease.fencing()));
        mLeases.put(lease.account(), lease);
        HomeBucket bucket = mBuckets.get(lease.account());
        if (bucket != null && bucket.fencing() == lease.fencing()) {
            bucket.renew(lease);
        } else if (mSplits.containsKey(lease.account())) {
            open(lease, nowMilliseconds);
        }
    }

    /** Closes the bucket of an account whose home node is another node now, and hands it over. */
    void homeNodeChanged(
            ClientAccountName account, NodeName home, long fencing, long nowMilliseconds) {
        if (!isNewest(account, fencing)) {
            return;
        }
        mHomeNodes.put(account, new HomeNode(home, fencing));
        mLeases.remove(account);
        HomeBucket bucket = mBuckets.get(account);
        if (bucket != null && bucket.fencing() < fencing) {
            bucket.close();
            mHandoverSendsLeft.putIfAbsent(account, HANDOVER_SENDS);
            sendHandover(account, nowMilliseconds);
        }
    }

    /** Closes the bucket of an account, so that its level is final and can be handed over. */
    void stopGranting(ClientAccountName account) {
        HomeBucket bucket = mBuckets.get(account);
        if (bucket != null) {
            bucket.close();
        }
    }

    void receive(NodeName sender, GrantRequest request, long nowMilliseconds) {
        HomeBucket bucket = mBuckets.get(ClientAccountName.of(request.getAccount()));
        GrantAnswer answer =
                bucket == null ? null : bucket.answer(sender, request, nowMilliseconds);
        if (answer != null) {
            Set<NodeName> recalled = bucket.holdersToRecall(sender, answer, nowMilliseconds);
            recalled.forEach(holder -> mOutbox.send(holder, recallMessage(request)));
            mOutbox.send(sender, LimitsMessage.newBuilder().setGrantAnswer(answer).build());
        }
    }

    private static LimitsMessage recallMessage(GrantRequest request) {
        GrantRecall recall =
                GrantRecall.newBuilder()
                        .setAccount(request.getAccount())
                        .setFencing(request.getFencing())
                        .build();
        return LimitsMessage.newBuilder().setGrantRecall(recall).build();
    }

    void receive(HomeHandover handover, long nowMilliseconds) {
        ClientAccountName account = ClientAccountName.of(handover.getAccount());
        HomeBucket bucket = mBuckets.get(account);
        if (bucket != null && bucket.fencing() > handover.getFencing()) {
            bucket.applyHandover(handover, nowMilliseconds);
        } else if (mSplits.containsKey(account)) {
            mEarlyHandovers.put(account, handover);
        }
    }

    void tick(long nowMilliseconds) {
        mBuckets.values().forEach(bucket -> bucket.expire(nowMilliseconds));
        for (ClientAccountName account : Map.copyOf(mHandoverSendsLeft).keySet()) {
            sendHandover(account, nowMilliseconds);
        }
    }

    private boolean isNewest(ClientAccountName account, long fencing) {
        HomeNode known = mHomeNodes.get(account);
        return known == null || fencing >= known.fencing();
    }

    private void open(HomeLease lease, long nowMilliseconds) {
        ClientAccountName account = lease.account();
        HomeBucket bucket =
                new HomeBucket(mSettings, mRules, mSplits.get(account), lease, nowMilliseconds);
        HomeBucket former = mBuckets.put(account, bucket);
        mHandoverSendsLeft.remove(account);
        if (former != null) {
            former.close();
            bucket.applyHandover(former.createHandover(nowMilliseconds), nowMilliseconds);
        }
        HomeHandover early = mEarlyHandovers.remove(account);
        if (early != null) {
            bucket.applyHandover(early, nowMilliseconds);
        }
    }

    private void sendHandover(ClientAccountName account, long nowMilliseconds) {
        HomeBucket bucket = mBuckets.get(account);
        HomeHandover handover = bucket.createHandover(nowMilliseconds);
        mOutbox.send(
                mHomeNodes.get(account).node(),
                LimitsMessage.newBuilder().setHomeHandover(handover).build());
        if (mHandoverSendsLeft.merge(account, -1, Integer::sum) <= 0) {
            mHandoverSendsLeft.remove(account);
            mBuckets.remove(account);
        }
    }

    /**
     * Home node of one client account.
     *
     * @param node name of the node
     * @param fencing fencing number of its lease
     */
    record HomeNode(NodeName node, long fencing) {}
}
