package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * FIFO pool of the tokens that the home node has granted to this node for one client account. Each
 * grant expires at its own instant; reservations use the oldest tokens first.
 */
final class TokenPool {
    private final GrantRules mRules;
    private final Deque<Grant> mGrants = new ArrayDeque<>();

    TokenPool(GrantRules rules) {
        mRules = rules;
    }

    void add(Origin origin, long tokens, long receivedMilliseconds, long expiryMilliseconds) {
        mGrants.addLast(new Grant(origin, tokens, receivedMilliseconds, expiryMilliseconds));
    }

    /** Drops expired grants. */
    void expire(long nowMilliseconds) {
        mGrants.removeIf(
                grant -> !mRules.isGrantValid(nowMilliseconds, grant.expiryMilliseconds()));
    }

    /** Returns the tokens of all grants, including those that expired since {@link #expire}. */
    long tokens() {
        return mGrants.stream().mapToLong(Grant::tokens).sum();
    }

    /** Returns the tokens that were granted under a fencing number. */
    long tokensUnder(long fencing) {
        return mGrants.stream()
                .filter(grant -> grant.origin().fencing() == fencing)
                .mapToLong(Grant::tokens)
                .sum();
    }

    /**
     * Removes tokens, oldest grant first.
     *
     * @return origin of the oldest token removed; empty, with nothing removed, when there are too
     *     few tokens
     */
    Optional<Origin> tryAcquire(long tokens) {
        if (tokens > tokens()) {
            return Optional.empty();
        }
        Origin oldest = mGrants.getFirst().origin();
        long missing = tokens;
        while (missing > 0) {
            Grant grant = mGrants.removeFirst();
            long removed = Math.min(missing, grant.tokens());
            missing -= removed;
            if (removed < grant.tokens()) {
                mGrants.addFirst(grant.without(removed));
            }
        }
        return Optional.of(oldest);
    }

    /**
     * Removes the oldest grant if it was made under this fencing number and received before an
     * instant.
     */
    Optional<Grant> removeIdle(long fencing, long receivedBeforeMilliseconds) {
        Grant grant = mGrants.peekFirst();
        if (grant == null
                || grant.origin().fencing() != fencing
                || grant.receivedMilliseconds() >= receivedBeforeMilliseconds) {
            return Optional.empty();
        }
        return Optional.of(mGrants.removeFirst());
    }

    /**
     * Source of tokens: a grant of a home node, or this node's floor.
     *
     * @param fencing fencing number of the home node's lease; {@link #FLOOR} for the floor
     * @param stamp stamp in the bucket that the tokens come from
     */
    record Origin(long fencing, long stamp) {
        /** Value of {@code fencing} for tokens of this node's floor. */
        static final long FLOOR = 0;
    }

    /**
     * Unspent tokens of one grant.
     *
     * @param origin source of the tokens
     * @param tokens tokens left
     * @param receivedMilliseconds instant at which the grant arrived, by this node's clock
     * @param expiryMilliseconds instant at which the grant expires, by this node's clock
     */
    record Grant(Origin origin, long tokens, long receivedMilliseconds, long expiryMilliseconds) {
        private Grant without(long removed) {
            return new Grant(origin, tokens - removed, receivedMilliseconds, expiryMilliseconds);
        }
    }
}
