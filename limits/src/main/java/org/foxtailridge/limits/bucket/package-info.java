/**
 * Token bucket that refunds unused tokens without exceeding the burst in any window.
 *
 * <p>{@link org.foxtailridge.limits.bucket.TokenBucket} is the entry; limiters acquire tokens with
 * {@link org.foxtailridge.limits.bucket.TokenBucket#tryAcquire}.
 */
package org.foxtailridge.limits.bucket;
