package org.foxtailridge.execution.quarantine;

/**
 * Bounds and times of the quarantine.
 *
 * <pre>{@code
 * QuarantineSettings settings = QuarantineSettings.builder().asksBeforeEachRun(false).build();
 * }</pre>
 *
 * @param asksBeforeEachRun whether the home node is asked before every attempt or only before those
 *     of requests that were in flight when an endpoint died
 * @param runsWithoutHome whether a request without losses runs when its home node doesn't answer
 * @param homeTimeoutMilliseconds time after which the home node is taken not to answer
 * @param askAgainMilliseconds time between two asks
 * @param doubtMilliseconds time after a failed attempt in which its endpoint may turn out dead
 * @param suspectMilliseconds time for which a loss is remembered
 * @param runMilliseconds time after which an attempt that a node has not ended counts no more
 * @param settleMilliseconds time after a change of nodes in which requests with losses wait
 * @param maximumSuspects requests whose losses are remembered
 * @param maximumHarmless requests remembered as harmless, as they were answered in whole
 * @param maximumRuns attempts that a home node keeps
 */
public record QuarantineSettings(
        boolean asksBeforeEachRun,
        boolean runsWithoutHome,
        long homeTimeoutMilliseconds,
        long askAgainMilliseconds,
        long doubtMilliseconds,
        long suspectMilliseconds,
        long runMilliseconds,
        long settleMilliseconds,
        int maximumSuspects,
        int maximumHarmless,
        int maximumRuns) {
    /** Checks the bounds. */
    public QuarantineSettings {
        if (maximumSuspects < 1 || maximumRuns < 1) {
            throw new IllegalArgumentException(
                    "maximumSuspects and maximumRuns must be at least 1 but were "
                            + maximumSuspects
                            + " and "
                            + maximumRuns);
        }
    }

    /** Returns a builder with default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link QuarantineSettings}. */
    public static final class Builder {
        private boolean mAsksBeforeEachRun = true;
        private boolean mRunsWithoutHome = true;
        private long mHomeTimeoutMilliseconds = 300;
        private long mAskAgainMilliseconds = 100;
        private long mDoubtMilliseconds = 3_000;
        private long mSuspectMilliseconds = 600_000;
        private long mRunMilliseconds = 600_000;
        private long mSettleMilliseconds = 2_000;
        private int mMaximumSuspects = 4_096;
        private int mMaximumHarmless = 16_384;
        private int mMaximumRuns = 16_384;

        private Builder() {}

        /** Sets whether the home node is asked before every attempt. */
        public Builder asksBeforeEachRun(boolean asks) {
            mAsksBeforeEachRun = asks;
            return this;
        }

        /** Sets whether a request without losses runs when its home node doesn't answer. */
        public Builder runsWithoutHome(boolean runs) {
            mRunsWithoutHome = runs;
            return this;
        }

        /** Sets the time for which a loss is remembered, in milliseconds. */
        public Builder suspectMilliseconds(long milliseconds) {
            mSuspectMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time after a failed attempt in which its endpoint may turn out dead. */
        public Builder doubtMilliseconds(long milliseconds) {
            mDoubtMilliseconds = milliseconds;
            return this;
        }

        /** Sets the requests whose losses are remembered. */
        public Builder maximumSuspects(int suspects) {
            mMaximumSuspects = suspects;
            return this;
        }

        /** Sets the attempts that a home node keeps. */
        public Builder maximumRuns(int runs) {
            mMaximumRuns = runs;
            return this;
        }

        /** Returns the settings. */
        public QuarantineSettings build() {
            return new QuarantineSettings(
                    mAsksBeforeEachRun,
                    mRunsWithoutHome,
                    mHomeTimeoutMilliseconds,
                    mAskAgainMilliseconds,
                    mDoubtMilliseconds,
                    mSuspectMilliseconds,
                    mRunMilliseconds,
                    mSettleMilliseconds,
                    mMaximumSuspects,
                    mMaximumHarmless,
                    mMaximumRuns);
        }
    }
}
