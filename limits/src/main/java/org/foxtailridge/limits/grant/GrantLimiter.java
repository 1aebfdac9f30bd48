package org.foxtailridge.limits.grant;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimiterOutbox;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Distributed rate limiter that keeps each client account within its rate and burst over all nodes.
 *
 * <p>One node, the home node of the account, holds a lease on the account's token bucket and grants
 * tokens to the others for a short time. Besides, each node has a floor: an equal part of the limit
 * that it may use without the home node, so that it still admits requests while it can't reach it.
 *
 * <p>All calls come from one duty thread of the node:
 *
 * <pre>{@code
 * TokenLimiter limiter = GrantLimiter.create(settings, clock, (node, message) ->
 *         network.send(node, Subject.LIMITS, message.toByteString()));
 * // the configuration has changed
 * limiter.limitChanged(account, TokenLimit.of(plan.rateTokensPerSecond(), plan.burstTokens()));
 * // the lease of the home node is held or renewed by this node, or held by another one
 * limiter.homeLeaseHeld(new HomeLease(account, fencing, until, former));
 * limiter.homeNodeChanged(account, otherNode, fencing);
 * // a message has arrived; TICK_MILLISECONDS have passed
 * limiter.receive(sender, LimitsMessage.parseFrom(envelope.getPayload()));
 * limiter.tick();
 * }</pre>
 *
 * <p>Any call may invoke the callbacks of waiting reservations. Call {@link #stopGranting} before
 * the lease of a home node is released, so that the next home node gets the bucket's state.
 */
public final class GrantLimiter implements TokenLimiter {
    private final LimiterSettings mSettings;
    private final GrantRules mRules;
    private final Clock mClock;
    private final LimiterOutbox mOutbox;
    private final OpenReservations mReservations;
    private final long mFloorActiveFromMilliseconds;
    private final Map<ClientAccountName, AccountLimiter> mAccounts = new HashMap<>();
    private final Map<ClientAccountName, TokenLimit> mLimits = new HashMap<>();
    private final HomeBuckets mHomeBuckets;
    private int mNodes;

    GrantLimiter(LimiterSettings settings, GrantRules rules, Clock clock, LimiterOutbox outbox) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mRules = Objects.requireNonNull(rules, "rules");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mReservations = new OpenReservations(settings.maximumOpenReservations());
        mFloorActiveFromMilliseconds = clock.millis() + settings.floorDelayMilliseconds();
        mHomeBuckets = new HomeBuckets(settings, rules, this::send);
        mNodes = settings.maximumNodes();
    }

    /**
     * Creates a limiter that knows no limits and holds no tokens.
     *
     * @param settings settings of this node
     * @param clock clock of this node
     * @param outbox sends messages to other nodes
     */
    public static GrantLimiter create(LimiterSettings settings, Clock clock, LimiterOutbox outbox) {
        return new GrantLimiter(settings, new GrantRules(), clock, outbox);
    }

    @Override
    public void reserve(ClientAccountName account, long tokens, Consumer<Admission> decision) {
        reserve(account, tokens, mSettings.maximumWait(), decision);
    }

    @Override
    public void reserve(
            ClientAccountName account,
            long tokens,
            Duration maximumWait,
            Consumer<Admission> decision) {
        Objects.requireNonNull(maximumWait, "maximumWait");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens must be at least 1 but was " + tokens);
        }
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter == null) {
            decision.accept(new Admission.UnknownAccount());
            return;
        }
        limiter.reserve(tokens, maximumWait.toMillis(), decision, now());
    }

    @Override
    public void settle(Reservation reservation, long usedTokens) {
        AccountLimiter limiter = mAccounts.get(reservation.account());
        mReservations
                .close(reservation)
                .filter(entry -> limiter != null)
                .ifPresent(entry -> limiter.settle(reservation, entry, usedTokens, now()));
    }

    @Override
    public void limitChanged(ClientAccountName account, TokenLimit limit) {
        mLimits.put(account, limit);
        LimitSplit split = LimitSplit.of(limit, mSettings, mNodes);
        mHomeBuckets.limitChanged(account, split, now());
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter == null) {
            mAccounts.put(account, createAccountLimiter(account, split));
            mHomeBuckets
                    .homeNodeOf(account)
                    .ifPresent(home -> setHomeNode(account, home.node(), home.fencing()));
        } else {
            limiter.setLimit(split, now());
        }
    }

    @Override
    public void limitRemoved(ClientAccountName account) {
        mLimits.remove(account);
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter != null) {
            limiter.removeLimit();
        }
    }

    @Override
    public void membersChanged(Set<NodeName> members) {
        int nodes = Math.max(1, members.size());
        if (nodes == mNodes) {
            return;
        }
        mNodes = nodes;
        Map.copyOf(mLimits).forEach(this::limitChanged);
    }

    @Override
    public void homeLeaseHeld(HomeLease lease) {
        mHomeBuckets.homeLeaseHeld(lease, now());
        setHomeNode(lease.account(), mSettings.node(), lease.fencing());
    }

    @Override
    public void homeNodeChanged(ClientAccountName account, NodeName home, long fencing) {
        mHomeBuckets.homeNodeChanged(account, home, fencing, now());
        setHomeNode(account, home, fencing);
    }

    @Override
    public void stopGranting(ClientAccountName account) {
        mHomeBuckets.stopGranting(account);
    }

    @Override
    public void receive(NodeName sender, LimitsMessage message) {
        switch (message.getKindCase()) {
            case GRANT_REQUEST -> mHomeBuckets.receive(sender, message.getGrantRequest(), now());
            case HOME_HANDOVER -> mHomeBuckets.receive(message.getHomeHandover(), now());
            case GRANT_ANSWER -> {
                AccountLimiter limiter =
                        mAccounts.get(ClientAccountName.of(message.getGrantAnswer().getAccount()));
                if (limiter != null) {
                    limiter.receive(sender, message.getGrantAnswer(), now());
                }
            }
            case GRANT_RECALL -> {
                AccountLimiter limiter =
                        mAccounts.get(ClientAccountName.of(message.getGrantRecall().getAccount()));
                if (limiter != null) {
                    limiter.receiveRecall(message.getGrantRecall().getFencing(), now());
                }
            }
            default -> {
                // Ignore kinds of messages that a newer version sends.
            }
        }
    }

    @Override
    public void tick() {
        mHomeBuckets.tick(now());
        mAccounts.values().forEach(limiter -> limiter.tick(now()));
    }

    private void setHomeNode(ClientAccountName account, NodeName home, long fencing) {
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter != null) {
            limiter.setHomeNode(home, fencing, now());
        }
    }

    private AccountLimiter createAccountLimiter(ClientAccountName account, LimitSplit split) {
        return new AccountLimiter(
                mSettings,
                mRules,
                account,
                split,
                Math.max(mFloorActiveFromMilliseconds, now()),
                now(),
                mReservations,
                this::send);
    }

    private void send(NodeName receiver, LimitsMessage message) {
        if (receiver.equals(mSettings.node())) {
            receive(receiver, message);
        } else {
            mOutbox.send(receiver, message);
        }
    }

    private long now() {
        return mClock.millis();
    }
}
