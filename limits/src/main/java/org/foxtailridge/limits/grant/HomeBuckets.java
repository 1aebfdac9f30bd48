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

/** The homes that this node holds or has passed on, and what it knows of the others. */
final class HomeBuckets {
    private static final int HANDOVER_SENDS = 3;

    private final LimiterSettings mSettings;
    private final GrantRules mRules;
    private final LimiterOutbox mOutbox;
    private final Map<ClientAccountName, LimitSplit> mParts = new HashMap<>();
    private final Map<ClientAccountName, HomeLease> mLeases = new HashMap<>();
    private final Map<ClientAccountName, HomeBucket> mBuckets = new HashMap<>();
    private final Map<ClientAccountName, HomeHandover> mEarlyHandovers = new HashMap<>();
    private final Map<ClientAccountName, Holder> mHolders = new HashMap<>();
    private final Map<ClientAccountName, Integer> mHandoversLeft = new HashMap<>();

    HomeBuckets(LimiterSettings settings, GrantRules rules, LimiterOutbox outbox) {
        mSettings = settings;
        mRules = rules;
        mOutbox = outbox;
    }

    /** Returns the newest known home node of a client account. */
    Optional<Holder> homeNodeOf(ClientAccountName account) {
        return Optional.ofNullable(mHolders.get(account));
    }

    void limitChanged(ClientAccountName account, LimitSplit parts, long nowMilliseconds) {
        mParts.put(account, parts);
        HomeBucket bucket = mBuckets.get(account);
        if (bucket != null) {
            bucket.setLimit(parts, nowMilliseconds);
        } else if (mLeases.containsKey(account)) {
            open(mLeases.get(account), nowMilliseconds);
        }
    }

    void homeLeaseHeld(HomeLease lease, long nowMilliseconds) {
        if (!isNewest(lease.account(), lease.fencing())) {
            return;
        }
        mHolders.put(lease.account(), new Holder(mSettings.node(), lease.fencing()));
        mLeases.put(lease.account(), lease);
        HomeBucket bucket = mBuckets.get(lease.account());
        if (bucket != null && bucket.fencing() == lease.fencing()) {
            bucket.renew(lease);
        } else if (mParts.containsKey(lease.account())) {
            open(lease, nowMilliseconds);
        }
    }

    void homeNodeChanged(
            ClientAccountName account, NodeName home, long fencing, long nowMilliseconds) {
        if (!isNewest(account, fencing)) {
            return;
        }
        mHolders.put(account, new Holder(home, fencing));
        mLeases.remove(account);
        HomeBucket bucket = mBuckets.get(account);
        if (bucket != null && bucket.fencing() < fencing) {
            bucket.close();
            mHandoversLeft.putIfAbsent(account, HANDOVER_SENDS);
            sendHandover(account, nowMilliseconds);
        }
    }

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
        } else if (mParts.containsKey(account)) {
            mEarlyHandovers.put(account, handover);
        }
    }

    void tick(long nowMilliseconds) {
        mBuckets.values().forEach(bucket -> bucket.expire(nowMilliseconds));
        for (ClientAccountName account : Map.copyOf(mHandoversLeft).keySet()) {
            sendHandover(account, nowMilliseconds);
        }
    }

    private boolean isNewest(ClientAccountName account, long fencing) {
        Holder known = mHolders.get(account);
        return known == null || fencing >= known.fencing();
    }

    private void open(HomeLease lease, long nowMilliseconds) {
        ClientAccountName account = lease.account();
        HomeBucket bucket =
                new HomeBucket(mSettings, mRules, mParts.get(account), lease, nowMilliseconds);
        HomeBucket former = mBuckets.put(account, bucket);
        mHandoversLeft.remove(account);
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
                mHolders.get(account).node(),
                LimitsMessage.newBuilder().setHomeHandover(handover).build());
        if (mHandoversLeft.merge(account, -1, Integer::sum) <= 0) {
            mHandoversLeft.remove(account);
            mBuckets.remove(account);
        }
    }

    /**
     * The home node of one client account.
     *
     * @param node home node
     * @param fencing fencing number of its lease
     */
    record Holder(NodeName node, long fencing) {}
}
