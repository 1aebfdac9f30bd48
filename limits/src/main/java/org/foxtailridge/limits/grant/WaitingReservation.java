package org.foxtailridge.limits.grant;

import java.util.function.Consumer;
import org.foxtailridge.limits.Admission;

/**
 * Reservation that waits for tokens.
 *
 * @param tokens tokens to reserve
 * @param deadlineMilliseconds instant at which the reservation is refused, by this node's clock
 * @param decision callback; called exactly once
 */
record WaitingReservation(long tokens, long deadlineMilliseconds, Consumer<Admission> decision) {}
