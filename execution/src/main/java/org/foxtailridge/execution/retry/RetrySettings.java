package org.foxtailridge.execution.retry;

/**
 * Bounds of retries.
 *
 * <pre>{@code
 * RetrySettings settings = RetrySettings.builder().maximumTries(4).build();
 * }</pre>
 *
 * @param maximumTries attempts of one request
 * @param budgetShare retries allowed for each first try
 * @param allowance retries allowed beyond the share, once for each client account and endpoint
 * @param maximumCredit retries that a client account or endpoint can save up
 * @param baseMilliseconds largest delay of the first retry, in milliseconds
 * @param maximumMilliseconds largest delay of any retry, in milliseconds
 * @param maximumBudgets client accounts, and endpoints, whose budgets are kept
 */
public record RetrySettings(
        int maximumTries,
        double budgetShare,
        double allowance,
        double maximumCredit,
        long baseMilliseconds,
        long maximumMilliseconds,
        int maximumBudgets) {
    /** Checks the values. */
    public RetrySettings {
        if (maximumTries < 1 || maximumBudgets < 1) {
            throw new IllegalArgumentException(
                    "maximumTries and maximumBudgets must be at least 1 but were "
                            + maximumTries
                            + " and "
                            + maximumBudgets);
        }
        if (!(budgetShare >= 0 && budgetShare <= 1)) {
            throw new IllegalArgumentException(
                    "budgetShare must be between 0 and 1 but was " + budgetShare);
        }
    }

    /** Returns a builder with default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link RetrySettings}. */
    public static final class Builder {
        private int mMaximumTries = 4;
        private double mBudgetShare = 0.1;
        private double mAllowance = 2;
        private double mMaximumCredit = 100;
        private long mBaseMilliseconds = 25;
        private long mMaximumMilliseconds = 1_000;
        private int mMaximumBudgets = 8_192;

        private Builder() {}

        /** Sets the attempts of one request. */
        public Builder maximumTries(int tries) {
            mMaximumTries = tries;
            return this;
        }

        /** Sets the retries allowed for each first try. */
        public Builder budgetShare(double share) {
            mBudgetShare = share;
            return this;
        }

        /** Sets the retries allowed beyond the share. */
        public Builder allowance(double retries) {
            mAllowance = retries;
            return this;
        }

        /** Sets the retries that can be saved up. */
        public Builder maximumCredit(double retries) {
            mMaximumCredit = retries;
            return this;
        }

        /** Sets the client accounts, and endpoints, whose budgets are kept. */
        public Builder maximumBudgets(int budgets) {
            mMaximumBudgets = budgets;
            return this;
        }

        /** Returns the settings. */
        public RetrySettings build() {
            return new RetrySettings(
                    mMaximumTries,
                    mBudgetShare,
                    mAllowance,
                    mMaximumCredit,
                    mBaseMilliseconds,
                    mMaximumMilliseconds,
                    mMaximumBudgets);
        }
    }
}
