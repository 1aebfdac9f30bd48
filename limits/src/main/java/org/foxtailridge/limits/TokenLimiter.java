package org.foxtailridge.limits;

import java.time.Duration;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Rate limiter that admits requests of client accounts within their rate and burst, in tokens.
 *
 * <p>A request reserves the maximum number of tokens that it may use. When it has ended, it is
 * settled to the tokens that it used, and the rest becomes available again. Not thread-safe: all
 * calls must come from one thread.
 *
 * <pre>{@code
 * limiter.limitChanged(account, TokenLimit.of(1_000, 5_000));
 * limiter.reserve(account, promptTokens + maximumTokens, admission -> {
 *     if (admission instanceof Admission.Granted granted) {
 *         run(request, used -> duty.offer(() -> limiter.settle(granted.reservation(), used)));
 *     }
 * });
 * }</pre>
 */
public interface TokenLimiter {
    /** Interval between calls of {@link #tick}, in milliseconds. */
    int TICK_MILLISECONDS = 50;

    /**
     * Reserves the maximum number of tokens that a request may use.
     *
     * @param account client account that is charged
     * @param tokens tokens to reserve; at least 1
     * @param decision called exactly once, during this call or during a later call of another
     *     method of this limiter, at the latest after the maximum wait of the limiter's settings
     */
    void reserve(ClientAccountName account, long tokens, Consumer<Admission> decision);

    /**
     * Reserves the maximum number of tokens that a request may use, within a limited time.
     *
     * @param account client account that is charged
     * @param tokens tokens to reserve; at least 1
     * @param maximumWait maximum time that the request may wait; the settings may allow less
     * @param decision called exactly once
     */
    default void reserve(
            ClientAccountName account,
            long tokens,
            Duration maximumWait,
            Consumer<Admission> decision) {
        reserve(account, tokens, decision);
    }

    /**
     * Ends a reservation. A second call for the same reservation has no effect.
     *
     * @param reservation reservation that was granted
     * @param usedTokens tokens that the request used. If fewer than reserved, the rest becomes
     *     available again; if more, the excess is charged to the account
     */
    void settle(Reservation reservation, long usedTokens);

    /** Adds a client account or changes its limit. */
    void limitChanged(ClientAccountName account, TokenLimit limit);

    /** Removes a client account; its waiting reservations get {@link Admission.UnknownAccount}. */
    void limitRemoved(ClientAccountName account);

    /**
     * Sets the nodes that may run, including this one. From then on floors are split over this
     * number of nodes instead of the maximum of the settings. A new node must be reported to all
     * nodes before its floor delay has elapsed; otherwise all floors together exceed their part.
     */
    void membersChanged(Set<NodeName> members);

    /** Reports that this node has acquired or renewed the lease of a home node. */
    void homeLeaseHeld(HomeLease lease);

    /**
     * Reports that another node is the home node of a client account. Has no effect if a higher
     * fencing number is known.
     */
    void homeNodeChanged(ClientAccountName account, NodeName home, long fencing);

    /**
     * Stops granting permanently under the lease that this node holds, so that the bucket's state
     * can be handed over to the next home node. Has no effect if this node is not the home node.
     */
    void stopGranting(ClientAccountName account);

    /**
     * Handles a message from another node.
     *
     * @param sender authenticated name of the node that sent the message
     * @param message message of subject {@code LIMITS}
     */
    void receive(NodeName sender, LimitsMessage message);

    /** Runs timeouts, refills and retries; to be called every {@link #TICK_MILLISECONDS}. */
    void tick();
}
