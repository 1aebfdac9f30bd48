package org.foxtailridge.bench.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.HomeLease;

/** Gives the lease of each client account's home to one node that reaches the platform. */
final class SimulatedLeases {
    private static final long LEASE_MILLISECONDS = 4_000;
    private static final long RENEW_MILLISECONDS = 1_000;
    private static final long TAKE_OVER_MILLISECONDS = 300;

    private final Map<ClientAccountName, Lease> mLeases = new HashMap<>();
    private final Predicate<SimulatedNode> mReachesPlatform;

    SimulatedLeases(Predicate<SimulatedNode> reachesPlatform) {
        mReachesPlatform = reachesPlatform;
    }

    /** Renews what is due and gives lapsed leases to the next nodes. */
    void advance(ClientAccountName account, List<SimulatedNode> nodes, long now) {
        Lease lease = mLeases.get(account);
        if (lease == null) {
            grant(account, first(account, nodes), 1, OptionalLong.empty(), nodes, now);
        } else if (now >= lease.mEnds + TAKE_OVER_MILLISECONDS) {
            OptionalLong former = OptionalLong.of(lease.mFencing);
            grant(account, first(account, nodes), lease.mFencing + 1, former, nodes, now);
        } else if (now - lease.mRenewed >= RENEW_MILLISECONDS
                && now < lease.mEnds
                && mReachesPlatform.test(lease.mHolder)) {
            renew(account, lease, now);
        }
    }

    /** Lets a node give up its leases in a planned way. */
    void release(SimulatedNode node, long now) {
        mLeases.forEach(
                (account, lease) -> {
                    if (lease.mHolder == node) {
                        node.limiter().stopGranting(account);
                        lease.mEnds = now;
                    }
                });
    }

    /** Tells a node that is new or was cut off who the home nodes are. */
    void tell(SimulatedNode node) {
        mLeases.forEach(
                (account, lease) -> {
                    if (lease.mHolder != node) {
                        NodeName holder = lease.mHolder.name();
                        node.limiter().homeNodeChanged(account, holder, lease.mFencing);
                    }
                });
    }

    private void grant(
            ClientAccountName account,
            SimulatedNode holder,
            long fencing,
            OptionalLong former,
            List<SimulatedNode> nodes,
            long now) {
        Lease lease = new Lease(holder, fencing, former);
        mLeases.put(account, lease);
        renew(account, lease, now);
        nodes.stream()
                .filter(node -> node != holder && mReachesPlatform.test(node))
                .forEach(node -> node.limiter().homeNodeChanged(account, holder.name(), fencing));
    }

    private void renew(ClientAccountName account, Lease lease, long now) {
        lease.mRenewed = now;
        lease.mEnds = now + LEASE_MILLISECONDS;
        Instant until = Instant.EPOCH.plus(Duration.ofMillis(lease.mEnds));
        lease.mHolder
                .limiter()
                .homeLeaseHeld(new HomeLease(account, lease.mFencing, until, lease.mFormer));
    }

    private SimulatedNode first(ClientAccountName account, List<SimulatedNode> nodes) {
        return nodes.stream()
                .filter(mReachesPlatform)
                .min((one, other) -> Long.compare(rank(account, one), rank(account, other)))
                .orElseThrow();
    }

    private static long rank(ClientAccountName account, SimulatedNode node) {
        return Objects.hash(account.value(), node.name().value()) * 0x9E3779B97F4A7C15L;
    }

    private static final class Lease {
        private final SimulatedNode mHolder;
        private final long mFencing;
        private final OptionalLong mFormer;
        private long mRenewed;
        private long mEnds;

        private Lease(SimulatedNode holder, long fencing, OptionalLong former) {
            mHolder = holder;
            mFencing = fencing;
            mFormer = former;
        }
    }
}
