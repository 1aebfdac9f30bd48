/**
 * Rate limiter over all nodes: the home node of each client account grants tokens that expire soon,
 * and each node keeps a floor, an equal part of the limit, for itself.
 *
 * <p>{@link org.foxtailridge.limits.grant.GrantLimiter} is the entry: requests enter through {@link
 * org.foxtailridge.limits.grant.GrantLimiter#reserve}, messages through {@link
 * org.foxtailridge.limits.grant.GrantLimiter#receive}. {@code AccountLimiter} admits requests of
 * one client account on any node; {@code HomeBucket} grants the account's tokens on its home node.
 */
package org.foxtailridge.limits.grant;
