package org.foxtailridge.limits.grant;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Tokens that this node was granted for one client account and may spend until they lapse. */
final class TokenPool {
    private final GrantRules mRules;
    private final Deque<TokenPool.Grant> mLots = new ArrayDeque<>();

    TokenPool(GrantRules rules) {
        mRules = rules;
    }

    void add(Origin origin, long tokens, long grantedMilliseconds, long untilMilliseconds) {
        mLots.addLast(new TokenPool.Grant(origin, tokens, grantedMilliseconds, untilMilliseconds));
    }

    /** Drops lapsed tokens. */
    void expire(long nowMilliseconds) {
        mLots.removeIf(lot -> !mRules.isGrantValid(nowMilliseconds, lot.expiresMilliseconds()));
    }

    /** Returns the tokens of all lots; lapsed ones are to be dropped before. */
    long tokens() {
        return mLots.stream().mapToLong(TokenPool.Grant::tokens).sum();
    }

    /** Returns the tokens that were granted under a fencing number. */
    long tokensUnder(long fencing) {
        return mLots.stream()
                .filter(lot -> lot.origin().fencing() == fencing)
                .mapToLong(TokenPool.Grant::tokens)
                .sum();
    }

    /** Takes tokens, the oldest first; returns the origin of the oldest, empty when too few. */
    Optional<Origin> tryTake(long tokens) {
        if (tokens > tokens()) {
            return Optional.empty();
        }
        Origin oldest = mLots.getFirst().origin();
        long missing = tokens;
        while (missing > 0) {
            TokenPool.Grant lot = mLots.removeFirst();
            long taken = Math.min(missing, lot.tokens());
            missing -= taken;
            if (taken < lot.tokens()) {
                mLots.addFirst(lot.without(taken));
            }
        }
        return Optional.of(oldest);
    }

    /** Takes the oldest lot if it was granted under this fencing number before an instant. */
    Optional<TokenPool.Grant> removeIdle(long fencing, long grantedBeforeMilliseconds) {
        TokenPool.Grant lot = mLots.peekFirst();
        if (lot == null
                || lot.origin().fencing() != fencing
                || lot.receivedMilliseconds() >= grantedBeforeMilliseconds) {
            return Optional.empty();
        }
        return Optional.of(mLots.removeFirst());
    }

    /**
     * Where tokens come from.
     *
     * @param fencing fencing number of the home node that granted them; 0 for the floor
     * @param stamp position of the grant
     */
    record Origin(long fencing, long stamp) {
        /** Fencing number that stands for the floor of this node. */
        static final long FLOOR = 0;
    }

    /**
     * Tokens of one grant.
     *
     * @param origin where they come from
     * @param tokens tokens left
     * @param receivedMilliseconds instant at which they arrived
     * @param expiresMilliseconds instant at which they lapse
     */
    record Grant(Origin origin, long tokens, long receivedMilliseconds, long expiresMilliseconds) {
        private TokenPool.Grant without(long taken) {
            return new TokenPool.Grant(
                    origin, tokens - taken, receivedMilliseconds, expiresMilliseconds);
        }
    }
}
