/**
 * Rate limiting of client accounts by tokens, over all nodes: the interface that a node uses.
 *
 * <p>{@link org.foxtailridge.limits.TokenLimiter} is the entry, and a request enters with {@link
 * org.foxtailridge.limits.TokenLimiter#reserve}. The package holds the interface, its settings and
 * the values that cross it; implementations are in the packages below. The logic does no input or
 * output: one duty thread passes events in and sends the messages that it puts into its outbox.
 */
package org.foxtailridge.limits;
