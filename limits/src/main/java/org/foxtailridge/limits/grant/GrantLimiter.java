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
 * Keeps each client account within its rate and burst over all nodes: one home node for each
 * account grants tokens that lapse soon, and each node has a small floor of its own.
 *
 * <p>The node drives it from one duty thread:
 *
 * <pre>{@code
 * TokenLimiter limiter = GrantLimiter.create(settings, clock, (node, message) ->
 *         network.send(node, Subject.LIMITS, message.toByteString()));
 * // configuration in force
 * limiter.limitChanged(account, TokenLimit.of(plan.rateTokensPerSecond(), plan.burstTokens()));
 * // leases of the duty "home of account"
 * limiter.homeHeld(new HomeLease(account, fencing, until, former));
 * limiter.homeElsewhere(account, otherNode, fencing);
 * // messages, and every TICK_MILLISECONDS
 * limiter.receive(sender, LimitsMessage.parseFrom(envelope.getPayload()));
 * limiter.tick();
 * }</pre>
 *
 * <p>Decisions may come during any call. The duty of a home is stopped with {@link #stopGranting}
 * before its lease is given up.
 */
public final class GrantLimiter implements TokenLimiter {
    private final LimiterSettings mSettings;
    private final GrantRules mRules;
    private final Clock mClock;
    private final LimiterOutbox mOutbox;
    private final OpenReservations mReservations;
    private final long mFloorFromMilliseconds;
    private final Map<ClientAccountName, AccountLimiter> mAccounts = new HashMap<>();
    private final Map<ClientAccountName, TokenLimit> mLimits = new HashMap<>();
    private final Homes mHomes;
    private int mNodes;

    GrantLimiter(LimiterSettings settings, GrantRules rules, Clock clock, LimiterOutbox outbox) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mRules = Objects.requireNonNull(rules, "rules");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mReservations = new OpenReservations(settings.maximumOpenReservations());
        mFloorFromMilliseconds = clock.millis() + settings.floorDelayMilliseconds();
        mHomes = new Homes(settings, rules, this::send);
        mNodes = settings.maximumNodes();
    }

    /**
     * Creates a limiter that holds no tokens yet.
     *
     * @param settings settings of this node
     * @param clock clock of this node
     * @param outbox takes messages for other nodes
     */
    public static GrantLimiter create(LimiterSettings settings, Clock clock, LimiterOutbox outbox) {
        return new GrantLimiter(settings, new GrantRules(), clock, outbox);
    }

    @Override
    public void reserve(ClientAccountName account, long tokens, Consumer<Admission> decision) {
        reserve(account, tokens, mSettings.longestWait(), decision);
    }

    @Override
    public void reserve(
            ClientAccountName account,
            long tokens,
            Duration patience,
            Consumer<Admission> decision) {
        Objects.requireNonNull(patience, "patience");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens must be at least 1 but was " + tokens);
        }
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter == null) {
            decision.accept(new Admission.UnknownAccount());
            return;
        }
        limiter.reserve(tokens, patience.toMillis(), decision, now());
    }

    @Override
    public void settle(Reservation reservation, long usedTokens) {
        AccountLimiter limiter = mAccounts.get(reservation.account());
        mReservations
                .close(reservation)
                .filter(spent -> limiter != null)
                .ifPresent(spent -> limiter.settle(reservation, spent, usedTokens, now()));
    }

    @Override
    public void limitChanged(ClientAccountName account, TokenLimit limit) {
        mLimits.put(account, limit);
        LimitParts parts = LimitParts.of(limit, mSettings, mNodes);
        mHomes.limitChanged(account, parts, now());
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter == null) {
            mAccounts.put(account, newAccount(account, parts));
            mHomes.homeOf(account)
                    .ifPresent(home -> tellHome(account, home.node(), home.fencing()));
        } else {
            limiter.change(parts, now());
        }
    }

    @Override
    public void limitRemoved(ClientAccountName account) {
        mLimits.remove(account);
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter != null) {
            limiter.remove();
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
        mHomes.held(lease, now());
        tellHome(lease.account(), mSettings.node(), lease.fencing());
    }

    @Override
    public void homeNodeChanged(ClientAccountName account, NodeName home, long fencing) {
        mHomes.elsewhere(account, home, fencing, now());
        tellHome(account, home, fencing);
    }

    @Override
    public void stopGranting(ClientAccountName account) {
        mHomes.release(account);
    }

    @Override
    public void receive(NodeName sender, LimitsMessage message) {
        switch (message.getKindCase()) {
            case GRANT_REQUEST -> mHomes.receive(sender, message.getGrantRequest(), now());
            case HOME_HANDOVER -> mHomes.receive(message.getHomeHandover(), now());
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
                    limiter.recalled(message.getGrantRecall().getFencing(), now());
                }
            }
            default -> {
                // A newer version's message; there is nothing to do for it here.
            }
        }
    }

    @Override
    public void tick() {
        mHomes.tick(now());
        mAccounts.values().forEach(limiter -> limiter.tick(now()));
    }

    private void tellHome(ClientAccountName account, NodeName home, long fencing) {
        AccountLimiter limiter = mAccounts.get(account);
        if (limiter != null) {
            limiter.homeIs(home, fencing, now());
        }
    }

    private AccountLimiter newAccount(ClientAccountName account, LimitParts parts) {
        return new AccountLimiter(
                mSettings,
                mRules,
                account,
                parts,
                Math.max(mFloorFromMilliseconds, now()),
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
