package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.TokenLimit;

/**
 * Split of one limit into the home node's part and equal floors of all nodes.
 *
 * <p>Rates are reduced by the maximum clock drift. Capacities are reduced by the tokens that a
 * clock with a resolution of a millisecond may refill too early. Without a tolerance the sum of all
 * parts therefore never exceeds the limit; with one, the bursts of the floors come out of the
 * tolerance.
 *
 * @param homeMilliTokensPerSecond refill of the home node's bucket, in thousandths of a token a
 *     second
 * @param homeCapacityTokens capacity of the home node's bucket
 * @param floorMilliTokensPerSecond refill of one node's floor, in thousandths of a token a second
 * @param floorCapacityTokens capacity of one node's floor
 * @param initialFloorEighths eighths of its floor that a new process starts with, although the
 *     process that it replaces may just have used them
 * @param equalShareTokensPerSecond refill of the whole limit divided by the number of nodes
 */
record LimitSplit(
        long homeMilliTokensPerSecond,
        long homeCapacityTokens,
        long floorMilliTokensPerSecond,
        long floorCapacityTokens,
        long initialFloorEighths,
        long equalShareTokensPerSecond) {
    private static final long TOLERATED_INITIAL_EIGHTHS = 2;
    private static final long PERCENT = 100;
    private static final long MILLI_TOKENS_PER_TOKEN = 1_000;
    private static final long PARTS_PER_MILLION = 1_000_000;

    /** Splits a limit over the maximum number of nodes of the settings. */
    static LimitSplit of(TokenLimit limit, LimiterSettings settings) {
        return of(limit, settings, settings.maximumNodes());
    }

    /**
     * Splits a limit.
     *
     * @param limit limit of a client account over all nodes
     * @param settings settings of this node
     * @param nodes maximum number of nodes that run at once
     */
    static LimitSplit of(TokenLimit limit, LimiterSettings settings, long nodes) {
        long rate =
                reduceByClockDrift(limit.rateTokensPerSecond() * MILLI_TOKENS_PER_TOKEN, settings);
        long floorRate = rate / PERCENT * settings.floorPercent() / nodes;
        long floorBurst =
                settings.tolerance()
                        .map(tolerance -> tolerance.totalFloorBurstTokens(limit) / nodes)
                        .orElse(limit.burstTokens() * settings.floorPercent() / PERCENT / nodes);
        long floorCapacity = floorBurst - roundingTokens(floorRate);
        if (floorCapacity <= 0) {
            floorRate = 0;
            floorBurst = 0;
            floorCapacity = 0;
        }
        long homeRate = rate - floorRate * nodes;
        long homeBurst =
                settings.tolerance().isPresent()
                        ? limit.burstTokens()
                        : limit.burstTokens() - floorBurst * nodes;
        long homeCapacity = Math.max(1, homeBurst - roundingTokens(homeRate));
        long initialEighths = settings.tolerance().isPresent() ? TOLERATED_INITIAL_EIGHTHS : 0;
        long equalShare = rate / MILLI_TOKENS_PER_TOKEN / nodes;
        return new LimitSplit(
                homeRate, homeCapacity, floorRate, floorCapacity, initialEighths, equalShare);
    }

    /** Returns a rate reduced by the maximum clock drift, without overflow of a large rate. */
    private static long reduceByClockDrift(long milliTokens, LimiterSettings settings) {
        long remaining = PARTS_PER_MILLION - settings.clockDriftPartsPerMillion();
        return milliTokens / PARTS_PER_MILLION * remaining
                + milliTokens % PARTS_PER_MILLION * remaining / PARTS_PER_MILLION;
    }

    /** Returns the tokens that are refilled within one millisecond, rounded up. */
    private static long roundingTokens(long milliTokensPerSecond) {
        return milliTokensPerSecond / PARTS_PER_MILLION + 1;
    }
}
