package org.foxtailridge.limits;

import java.time.Duration;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Admits requests of client accounts within their rate and burst.
 *
 * <p>All calls come from one thread. A request reserves the tokens that it may use at most, and
 * settles to what it used; tokens that went unused are available again.
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
    /** Time between two calls of {@link #tick}, in milliseconds. */
    int TICK_MILLISECONDS = 50;

    /**
     * Sets aside the tokens that a request may use at most.
     *
     * @param account client account that is charged
     * @param tokens tokens to set aside; at least 1
     * @param decision called exactly once, during this call or during a later call of another
     *     method of this limiter, at the latest after the longest wait of the limiter's settings
     */
    void reserve(ClientAccountName account, long tokens, Consumer<Admission> decision);

    /**
     * Sets aside the tokens that a request may use at most, for a caller who waits for a time.
     *
     * @param account client account that is charged
     * @param tokens tokens to set aside; at least 1
     * @param patience longest time that the request may wait; the settings may allow less
     * @param decision called exactly once
     */
    default void reserve(
            ClientAccountName account,
            long tokens,
            Duration patience,
            Consumer<Admission> decision) {
        reserve(account, tokens, decision);
    }

    /**
     * Ends a reservation. A second call for the same reservation has no effect.
     *
     * @param reservation reservation that was granted
     * @param usedTokens tokens that the request used; fewer than reserved makes the rest available
     *     again, more than reserved charges the excess
     */
    void settle(Reservation reservation, long usedTokens);

    /** Adds a client account or changes its limit. */
    void limitChanged(ClientAccountName account, TokenLimit limit);

    /** Removes a client account; its waiting requests are decided as unknown account. */
    void limitRemoved(ClientAccountName account);

    /**
     * Tells which nodes may run, this node included; from then on floors are split over as many, in
     * place of the number of the settings. A new node is to be told of everywhere before the floor
     * delay of the settings has passed.
     */
    void membersChanged(Set<NodeName> members);

    /** Tells that this node holds or has renewed the lease of a home. */
    void homeLeaseHeld(HomeLease lease);

    /**
     * Tells which other node is the home node of a client account. Old fencing numbers have no
     * effect.
     */
    void homeNodeChanged(ClientAccountName account, NodeName home, long fencing);

    /**
     * Stops granting for good under the lease that this node holds, so that the next home node can
     * be handed the state. Has no effect when this node holds no lease of the account.
     */
    void stopGranting(ClientAccountName account);

    /**
     * Takes a message from another node.
     *
     * @param sender node that the connection was authenticated for
     * @param message message of subject {@code LIMITS}
     */
    void receive(NodeName sender, LimitsMessage message);

    /** Does what is due by time; to be called every {@link #TICK_MILLISECONDS}. */
    void tick();
}
