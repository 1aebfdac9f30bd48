/**
 * Simple limiters without messages between nodes, as baselines of benchmarks and tests for the
 * limiter of {@link org.foxtailridge.limits.grant}.
 *
 * <p>{@link org.foxtailridge.limits.baseline.SingleBucketLimiter} and {@link
 * org.foxtailridge.limits.baseline.EqualSplitLimiter} are the entries; requests enter through
 * {@link org.foxtailridge.limits.TokenLimiter#reserve}.
 */
package org.foxtailridge.limits.baseline;
