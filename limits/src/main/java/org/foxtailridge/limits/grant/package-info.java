/**
 * The limiter that nodes run: one home node for each client account hands out short grants, and
 * each node keeps a small floor of its own.
 *
 * <p>{@link org.foxtailridge.limits.grant.GrantLimiter} is the entry.
 */
package org.foxtailridge.limits.grant;
