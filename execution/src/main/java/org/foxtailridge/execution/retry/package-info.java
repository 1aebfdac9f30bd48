/**
 * Decides whether and when a failed attempt is tried again.
 *
 * <p>{@link org.foxtailridge.execution.retry.RetryPolicy} is the entry.
 */
package org.foxtailridge.execution.retry;
