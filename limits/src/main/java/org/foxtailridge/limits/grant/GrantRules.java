package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * Safety rules that keep all nodes together within a limit. Mutation tests override one rule at a
 * time and check that the limit is then exceeded.
 */
class GrantRules {
    /** Returns whether the holder may still spend a grant that expires at an instant. */
    boolean isGrantValid(long nowMilliseconds, long expiryMilliseconds) {
        return nowMilliseconds < expiryMilliseconds;
    }

    /** Returns whether the home node may still grant under a lease that expires at an instant. */
    boolean isLeaseValid(long nowMilliseconds, long expiryMilliseconds) {
        return nowMilliseconds < expiryMilliseconds;
    }

    /** Returns whether the home node deducts tokens from its bucket before it sends the grant. */
    boolean deductsBeforeSending() {
        return true;
    }

    /**
     * Returns whether a home node starts with a full bucket. It may do so only if no home node
     * before it can have granted tokens.
     */
    boolean startsFull(HomeLease lease) {
        return lease.formerFencing().isEmpty();
    }

    /** Returns whether a home node counts tokens that former home nodes may have granted. */
    boolean countsFormerGrants() {
        return true;
    }

    /** Returns whether a reported batch was not yet accepted, so that no batch counts twice. */
    boolean isNewBatch(long batch, long acceptedBatch) {
        return batch > acceptedBatch;
    }

    /** Refunds unused tokens to a bucket; returns how many, at most what the bucket allows. */
    long refund(TokenBucket bucket, long stamp, long tokens) {
        return bucket.refund(stamp, tokens);
    }
}
