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

/** Limits of client accounts; each account's home is the holder of one partition of duties. */
final class NodeLimits implements DutyListener {
    private static final Logger LOGGER = LogManager.getLogger(NodeLimits.class);
    // Until the nodes of the fleet are known.
    private static final int MOST_NODES = 64;
    // What a data centre that is cut off goes on with; the rest moves to where it is needed.
    private static final int FLOOR_PERCENT = 60;
    // Floors start empty, and stay small until the number of nodes is known.
    private static final long FLOOR_DELAY_MILLISECONDS = 0;
    private static final long NODES_KNOWN_MILLISECONDS = 4_000;
    // Tokens are asked for when they are needed, so that they are spent as soon as they come.
    private static final long GRANT_MILLISECONDS = 400;
    private static final long LONGEST_WAIT_MILLISECONDS = 250;
    // After a start of all nodes a home is there within a second.
    private static final long WAIT_WITHOUT_HOME_MILLISECONDS = 1_000;
    // A client account sends one node a few requests a second: tokens held ahead would lapse.
    private static final long PREFETCH_MILLISECONDS = 0;

    private final Clock mClock;
    private final long mStartedMilliseconds;
    private final TokenLimiter mLimiter;
    private final Map<Integer, Held> mHeld = new HashMap<>();
    private final Map<Integer, Elsewhere> mElsewhere = new HashMap<>();
    private Map<ClientAccountName, Integer> mPartitions = Map.of();

    NodeLimits(
            ForwardingSettings settings, Clock clock, long incarnation, DatagramNetwork network) {
        mClock = clock;
        mStartedMilliseconds = clock.millis();
        LimiterSettings limits =
                LimiterSettings.builder(settings.name(), incarnation)
                        .maximumNodes(MOST_NODES)
                        .floorPercent(FLOOR_PERCENT)
                        .floorDelayMilliseconds(FLOOR_DELAY_MILLISECONDS)
                        .grantLifetimeMilliseconds(GRANT_MILLISECONDS)
                        .maximumWaitMilliseconds(LONGEST_WAIT_MILLISECONDS)
                        .prefetchMilliseconds(PREFETCH_MILLISECONDS)
                        .floorFirst(true)
                        .maximumWaitWithoutHomeMilliseconds(WAIT_WITHOUT_HOME_MILLISECONDS)
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
        boolean started = mClock.millis() - mStartedMilliseconds >= NODES_KNOWN_MILLISECONDS;
        if (members.hasReadNodes() || started) {
            mLimiter.membersChanged(members.listedNodes());
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
        mElsewhere.forEach((partition, where) -> tellElsewhere(partition, where));
    }

    @Override
    public void held(HeldDuty duty, OptionalLong former) {
        mHeld.put(duty.partition(), new Held(duty, former));
        mElsewhere.remove(duty.partition());
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
    public void lapsed(HeldDuty duty) {
        mHeld.remove(duty.partition());
    }

    @Override
    public void elsewhere(int partition, NodeName holder, long fencing) {
        Elsewhere where = new Elsewhere(holder, fencing);
        mElsewhere.put(partition, where);
        tellElsewhere(partition, where);
    }

    private void tellElsewhere(int partition, Elsewhere where) {
        accountsOf(partition)
                .forEach(
                        account ->
                                mLimiter.homeNodeChanged(account, where.node(), where.fencing()));
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

    private record Elsewhere(NodeName node, long fencing) {}
}
