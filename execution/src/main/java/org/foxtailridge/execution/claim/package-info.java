/**
 * At most one execution for each idempotency key, over all nodes and data centres.
 *
 * <p>{@link org.foxtailridge.execution.claim.ClaimKeeper} is the entry. Claims, releases and
 * outcomes are records of the log stream {@code claims}; the first claim in log order wins.
 */
package org.foxtailridge.execution.claim;
