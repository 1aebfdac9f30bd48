package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.limits.grant.GrantLimiter;
import org.foxtailridge.membership.group.HeldDuty;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Connects the token limiter to configuration, duties and network. The home node of a client
 * account is the holder of the duty whose partition the account's name maps to. Confined to the
 * event loop.
 */
final class NodeLimits implements DutyListener {
    private static final Logger LOGGER = LogManager.getLogger(NodeLimits.class);
    // Assumed number of nodes until the nodes of the fleet are known.
    private static final int MAXIMUM_NODES = 64;
    // Guaranteed local share, with which a data centre that is cut off continues; the rest moves to
    // the nodes that need it.
    private static final int FLOOR_PERCENT = 60;
    // No delay is needed: floors start empty, and stay small until the number of nodes is known.
    private static final long FLOOR_DELAY_MILLISECONDS = 0;
    // From this time on the known nodes count as the fleet, also if no node records were read.
    private static final long DISCOVERY_TIMEOUT_MILLISECONDS = 4_000;
    // Tokens are requested when they are needed, so that they are spent as soon as they arrive.
    private static final long GRANT_LIFETIME_MILLISECONDS = 400;
    // Maximum wait of a request for tokens; the forwarder may allow less.
    private static final long MAXIMUM_WAIT_MILLISECONDS = 250;
    // After a start of all nodes each account has a home node within 1 s.
    private static final long MAXIMUM_WAIT_WITHOUT_HOME_MILLISECONDS = 1_000;
    // A client account sends a node only a few requests per second: prefetched tokens would expire.
    private static final long PREFETCH_MILLISECONDS = 0;

    private final Clock mClock;
    private final long mStartedMilliseconds;
    private final TokenLimiter mLimiter;
    private final Map<Integer, Held> mHeld = new HashMap<>();
    private final Map<Integer, PeerHolder> mPeerHolders = new HashMap<>();
    private Map<ClientAccountName, Integer> mPartitions = Map.of();

    NodeLimits(
            ForwardingSettings settings, Clock clock, long incarnation, DatagramNetwork network) {
        mClock = clock;
        mStartedMilliseconds = clock.millis();
        LimiterSettings limits =
                LimiterSettings.builder(settings.name(), incarnation)
                        .maximumNodes(MAXIMUM_NODES)
                        .floorPercent(FLOOR_PERCENT)
                        .floorDelayMilliseconds(FLOOR_DELAY_MILLISECONDS)
                        .grantLifetimeMilliseconds(GRANT_LIFETIME_MILLISECONDS)
                        .maximumWaitMilliseconds(MAXIMUM_WAIT_MILLISECONDS)
                        .prefetchMilliseconds(PREFETCH_MILLISECONDS)
                        .floorFirst(true)
                        .maximumWaitWithoutHomeMilliseconds(MAXIMUM_WAIT_WITHOUT_HOME_MILLISECONDS)
                        .tolerance(settings.limitTolerance())
                        .build();
        mLimiter =
                GrantLimiter.create(
                        limits,
                        clock,
                        (node, message) -> network.send(node, Subject.LIMITS, message));
        network.receive(Subject.LIMITS, LimitsMessage.parser(), mLimiter::receive);
    }

    TokenLimiter limiter() {
        return mLimiter;
    }

    void tick(NodeMembership members) {
        boolean timedOut = mClock.millis() - mStartedMilliseconds >= DISCOVERY_TIMEOUT_MILLISECONDS;
        if (members.hasReadNodeRecords() || timedOut) {
            mLimiter.membersChanged(members.knownNodes());
        }
        mLimiter.tick();
    }

    void configurationChanged(
            Optional<ForwardingConfiguration> former, ForwardingConfiguration current) {
        Map<ClientAccountName, Integer> partitions = new HashMap<>();
        for (ForwardingAccount account : current.accounts()) {
            if (account.isLimited()) {
                ClientAccountName name = ClientAccountName.of(account.name());
                partitions.put(name, DutyPartitions.homeOf(name));
                if (former.flatMap(known -> known.account(account.name())).stream()
                        .noneMatch(account::equals)) {
                    log(account, current.version());
                }
                mLimiter.limitChanged(
                        name, TokenLimit.of(account.ratePerSecond(), Math.max(1, account.burst())));
            }
        }
        for (ClientAccountName name : mPartitions.keySet()) {
            if (!partitions.containsKey(name)) {
                mLimiter.limitRemoved(name);
            }
        }
        mPartitions = partitions;
        List.copyOf(mHeld.values()).forEach(held -> held(held.duty(), held.former()));
        mPeerHolders.forEach((partition, peer) -> applyPeerHolder(partition, peer));
    }

    @Override
    public void held(HeldDuty duty, OptionalLong former) {
        mHeld.put(duty.partition(), new Held(duty, former));
        mPeerHolders.remove(duty.partition());
        accountsOf(duty.partition())
                .forEach(
                        account ->
                                mLimiter.homeLeaseHeld(
                                        new HomeLease(
                                                account,
                                                duty.fencing(),
                                                duty.validUntil(),
                                                former)));
    }

    @Override
    public void released(HeldDuty duty) {
        mHeld.remove(duty.partition());
        accountsOf(duty.partition()).forEach(mLimiter::stopGranting);
    }

    @Override
    public void expired(HeldDuty duty) {
        mHeld.remove(duty.partition());
    }

    @Override
    public void heldByPeer(int partition, NodeName holder, long fencing) {
        PeerHolder peer = new PeerHolder(holder, fencing);
        mPeerHolders.put(partition, peer);
        applyPeerHolder(partition, peer);
    }

    private void applyPeerHolder(int partition, PeerHolder peer) {
        accountsOf(partition)
                .forEach(account -> mLimiter.homeNodeChanged(account, peer.node(), peer.fencing()));
    }

    private Iterable<ClientAccountName> accountsOf(int partition) {
        return mPartitions.entrySet().stream()
                .filter(entry -> entry.getValue() == partition)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static void log(ForwardingAccount account, long version) {
        LogEvent.named("limit_changed")
                .text("account", account.name())
                .number("rate_per_second", account.ratePerSecond())
                .number("burst", account.burst())
                .number("configuration", version)
                .writeTo(LOGGER);
    }

    private record Held(HeldDuty duty, OptionalLong former) {}

    private record PeerHolder(NodeName node, long fencing) {}
}
