package org.foxtailridge.bench.routing;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Figures of one run.
 *
 * @param requests requests of the demand, all inside their accounts' rates
 * @param attainedPerAcceleratorSecond requests that met their objective, for each accelerator and
 *     second
 * @param attainment share of requests that met their objective
 * @param worstAccount the least attainment of an account
 * @param meanAccount mean attainment of the accounts
 * @param refused requests refused although inside the rate
 * @param broken requests that failed after an endpoint may have begun
 * @param firstTokenMilliseconds time to the first token of interactive work, 95th percentile
 * @param betweenTokensMilliseconds time between tokens of interactive work, 95th percentile
 * @param retried retries of attempts that may have begun
 * @param preempted attempts cancelled to make room
 */
record Outcome(
        int requests,
        double attainedPerAcceleratorSecond,
        double attainment,
        double worstAccount,
        double meanAccount,
        int refused,
        int broken,
        double firstTokenMilliseconds,
        double betweenTokensMilliseconds,
        int retried,
        int preempted) {
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;
    private static final double MICROSECONDS_PER_SECOND = 1e6;
    private static final int DIGITS = 3;
    private static final double PERCENTILE = 95;

    static Outcome of(Deployment deployment, List<Journey> journeys, int retried, int preempted) {
        Histogram first = new Histogram(DIGITS);
        Histogram between = new Histogram(DIGITS);
        int accounts = deployment.shares().size();
        int[] attained = new int[accounts];
        int[] asked = new int[accounts];
        for (Journey journey : journeys) {
            asked[journey.account()]++;
            attained[journey.account()] += journey.isAttained() ? 1 : 0;
            if (journey.isInteractive() && journey.hasFirstToken()) {
                first.recordValue(journey.firstTokenMicroseconds());
            }
            if (journey.isInteractive() && journey.isEnded()) {
                between.recordValue(journey.betweenTokensMicroseconds());
            }
        }
        double worst = 1;
        double sum = 0;
        int total = 0;
        for (int account = 0; account < accounts; account++) {
            double share = asked[account] == 0 ? 1 : (double) attained[account] / asked[account];
            worst = Math.min(worst, share);
            sum += share;
            total += attained[account];
        }
        double seconds = Demand.LENGTH_MICROSECONDS / MICROSECONDS_PER_SECOND;
        return new Outcome(
                journeys.size(),
                total / seconds / deployment.engines(),
                (double) total / journeys.size(),
                worst,
                sum / accounts,
                (int) journeys.stream().filter(Journey::isRefused).count(),
                (int) journeys.stream().filter(Journey::isBroken).count(),
                first.getValueAtPercentile(PERCENTILE) / MICROSECONDS_PER_MILLISECOND,
                between.getValueAtPercentile(PERCENTILE) / MICROSECONDS_PER_MILLISECOND,
                retried,
                preempted);
    }
}
