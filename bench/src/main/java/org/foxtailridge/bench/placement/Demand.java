package org.foxtailridge.bench.placement;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Seeded demand: popularity skewed by rank, one peak of ten times the usual demand for a third of
 * an hour at a time that moves on to other models, and bursts of a few seconds.
 */
final class Demand {
    private static final int PEAK_SECONDS = 1_200;
    private static final int PEAK_MODELS = 2;
    private static final double PEAK_FACTOR = 10;
    private static final double BURST_SHARE = 0.05;
    private static final double BURST_FACTOR = 3;

    private final UniformRandomProvider mRandom;
    private final double[] mUsual;
    private final double mTokensPerSecond;
    private int[] mPeaks = {};

    /**
     * Creates a demand.
     *
     * @param seed seed of all random numbers
     * @param models models
     * @param tokensPerSecond usual demand of all models together
     */
    Demand(long seed, int models, double tokensPerSecond) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mTokensPerSecond = tokensPerSecond;
        mUsual = new double[models];
        double sum = 0;
        for (int model = 0; model < models; model++) {
            mUsual[model] = 1.0 / (model + 1);
            sum += mUsual[model];
        }
        for (int model = 0; model < models; model++) {
            mUsual[model] /= sum;
        }
    }

    /** Returns the demand of each model in a second, in tokens; called once for each second. */
    double[] at(int second) {
        if (second % PEAK_SECONDS == 0) {
            mPeaks = mRandom.ints(PEAK_MODELS, 0, mUsual.length).toArray();
        }
        double[] tokens = new double[mUsual.length];
        for (int model = 0; model < tokens.length; model++) {
            boolean burst = mRandom.nextDouble() < BURST_SHARE;
            tokens[model] = mUsual[model] * mTokensPerSecond * (burst ? BURST_FACTOR : 1);
        }
        for (int peak : mPeaks) {
            tokens[peak] *= PEAK_FACTOR;
        }
        return tokens;
    }
}
