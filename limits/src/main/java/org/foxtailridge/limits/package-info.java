/**
 * Token rate and burst of client accounts over all nodes: the interface that a node uses.
 *
 * <p>{@link org.foxtailridge.limits.TokenLimiter} is the entry. The logic has no input or output of
 * its own: one duty thread feeds it with events and sends what it puts into its outbox.
 */
package org.foxtailridge.limits;
