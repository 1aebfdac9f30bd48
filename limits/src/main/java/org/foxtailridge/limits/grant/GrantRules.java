package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.bucket.TokenBucket;

/** The rules that the limit rests on; tests replace single rules to see that each is needed. */
class GrantRules {
    /** Returns whether a granted token may still be spent at the holder. */
    boolean isGrantValid(long nowMilliseconds, long untilMilliseconds) {
        return nowMilliseconds < untilMilliseconds;
    }

    /** Returns whether the home node may still grant. */
    boolean isLeaseValid(long nowMilliseconds, long untilMilliseconds) {
        return nowMilliseconds < untilMilliseconds;
    }

    /** Returns whether the home node takes tokens from its bucket before it sends them. */
    boolean deductsBeforeSending() {
        return true;
    }

    /** Returns whether a home node starts with a full bucket. */
    boolean startsFull(HomeLease lease) {
        return lease.formerFencing().isEmpty();
    }

    /** Returns whether a home node counts tokens that former ones may have granted. */
    boolean countsFormerGrants() {
        return true;
    }

    /** Returns whether a batch of unused tokens may be taken. */
    boolean isNewBatch(long batch, long takenBatch) {
        return batch > takenBatch;
    }

    /** Gives unused tokens back to a bucket; returns how many. */
    long refund(TokenBucket bucket, long stamp, long tokens) {
        return bucket.refund(stamp, tokens);
    }
}
