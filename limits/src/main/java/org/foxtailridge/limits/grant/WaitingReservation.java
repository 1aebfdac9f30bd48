package org.foxtailridge.limits.grant;

import java.util.function.Consumer;
import org.foxtailridge.limits.Admission;

/**
 * A reservation that waits for tokens.
 *
 * @param tokens tokens that it needs
 * @param deadlineMilliseconds instant at which it is refused
 * @param decision to be called once
 */
record WaitingReservation(long tokens, long deadlineMilliseconds, Consumer<Admission> decision) {}
