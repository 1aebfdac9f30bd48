package org.foxtailridge.cli.load;

import java.time.Duration;
import java.util.Iterator;
import java.util.NoSuchElementException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Arrivals of a plan: a Poisson process whose rate is multiplied inside bursts. The same plan gives
 * the same arrivals.
 */
final class Arrivals implements Iterator<Arrival> {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int ALPHABET = 26;

    private final LoadPlan mPlan;
    private final UniformRandomProvider mRandom;
    private double mSeconds;
    private int mNumber;

    Arrivals(LoadPlan plan) {
        mPlan = plan;
        mRandom = RandomSource.XO_SHI_RO_256_PP.create(plan.seed());
        advance();
    }

    @Override
    public boolean hasNext() {
        return mSeconds < seconds(mPlan.duration());
    }

    @Override
    public Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException("the load has ended");
        }
        Duration at = Duration.ofNanos((long) (mSeconds * NANOSECONDS_PER_SECOND));
        Arrival arrival =
                new Arrival(
                        mNumber,
                        at,
                        Weighted.choose(mPlan.accounts(), mRandom),
                        Weighted.choose(mPlan.workClasses(), mRandom),
                        mPlan.models().get(mRandom.nextInt(mPlan.models().size())),
                        mPlan.callers().get(mNumber % mPlan.callers().size()),
                        prompt());
        mNumber++;
        advance();
        return arrival;
    }

    /**
     * Moves to the next arrival: candidates come at the highest rate and are thinned outside
     * bursts.
     */
    private void advance() {
        double highest = mPlan.requestsPerSecond() * Math.max(1, mPlan.burstFactor());
        do {
            mSeconds += -Math.log(1 - mRandom.nextDouble()) / highest;
        } while (mRandom.nextDouble() * highest >= rateAt(mSeconds));
    }

    private double rateAt(double seconds) {
        double period = seconds(mPlan.burstPeriod());
        boolean inBurst = period > 0 && seconds % period < seconds(mPlan.burstLength());
        return mPlan.requestsPerSecond() * (inBurst ? mPlan.burstFactor() : 1);
    }

    private String prompt() {
        StringBuilder prompt = new StringBuilder("request " + mNumber + " ");
        while (prompt.length() < mPlan.promptCharacters()) {
            prompt.append((char) ('a' + mRandom.nextInt(ALPHABET)));
        }
        return prompt.toString();
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOSECONDS_PER_SECOND;
    }
}
