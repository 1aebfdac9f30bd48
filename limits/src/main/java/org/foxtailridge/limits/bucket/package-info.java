/**
 * Token bucket that refunds unused tokens without exceeding the burst in any window.
 *
 * <p>{@link org.foxtailridge.limits.bucket.TokenBucket} is the entry; requests take tokens with
 * {@link org.foxtailridge.limits.bucket.TokenBucket#tryTake}.
 */
package org.foxtailridge.limits.bucket;
