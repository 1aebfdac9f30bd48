package org.foxtailridge.bench.limits;

/**
 * One request of the demand.
 *
 * @param atMilliseconds instant at which it arrives
 * @param account index of the client account
 * @param node position of the node that it arrives at
 * @param reservedTokens tokens that it may use at most
 * @param usedTokens tokens that it will use
 * @param durationMilliseconds time that it runs
 */
record LimitedRequest(
        long atMilliseconds,
        int account,
        int node,
        long reservedTokens,
        long usedTokens,
        long durationMilliseconds) {}
