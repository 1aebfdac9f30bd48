package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.TokenLimit;

/**
 * A limit divided into the part of the home node and equal floors of all nodes.
 *
 * <p>Rates are lowered by the clock drift and capacities by what a clock of whole milliseconds may
 * refill too early, so that the sum never exceeds the limit.
 *
 * @param homeMilliTokensPerSecond refill of the home node's bucket, in thousandths of a token
 * @param homeCapacityTokens capacity of the home node's bucket
 * @param floorMilliTokensPerSecond refill of one node's floor, in thousandths of a token
 * @param floorCapacityTokens capacity of one node's floor
 * @param initialFloorEighths eighths of its floor that a process may use at its start, although the
 *     process before may just have used it
 * @param equalShareTokensPerSecond refill of the whole limit divided by the nodes
 */
record LimitSplit(
        long homeMilliTokensPerSecond,
        long homeCapacityTokens,
        long floorMilliTokensPerSecond,
        long floorCapacityTokens,
        long initialFloorEighths,
        long equalShareTokensPerSecond) {
    private static final long TOLERATED_START_EIGHTHS = 2;
    private static final long PERCENT = 100;
    private static final long MILLI = 1_000;
    private static final long MILLION = 1_000_000;

    static LimitSplit of(TokenLimit limit, LimiterSettings settings) {
        return of(limit, settings, settings.maximumNodes());
    }

    /** Returns the parts for a fleet of as many nodes as may run at once. */
    static LimitSplit of(TokenLimit limit, LimiterSettings settings, long nodes) {
        long rate = afterDrift(limit.rateTokensPerSecond() * MILLI, settings);
        long floorRate = rate / PERCENT * settings.floorPercent() / nodes;
        long floorBurst =
                settings.tolerance()
                        .map(tolerance -> tolerance.totalFloorBurstTokens(limit) / nodes)
                        .orElse(limit.burstTokens() * settings.floorPercent() / PERCENT / nodes);
        long floorCapacity = floorBurst - earlyTokens(floorRate);
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
        long homeCapacity = Math.max(1, homeBurst - earlyTokens(homeRate));
        long start = settings.tolerance().isPresent() ? TOLERATED_START_EIGHTHS : 0;
        long fair = rate / MILLI / nodes;
        return new LimitSplit(homeRate, homeCapacity, floorRate, floorCapacity, start, fair);
    }

    private static long afterDrift(long milliTokens, LimiterSettings settings) {
        long kept = MILLION - settings.clockDriftPartsPerMillion();
        return milliTokens / MILLION * kept + milliTokens % MILLION * kept / MILLION;
    }

    private static long earlyTokens(long milliTokensPerSecond) {
        return milliTokensPerSecond / MILLION + 1;
    }
}
