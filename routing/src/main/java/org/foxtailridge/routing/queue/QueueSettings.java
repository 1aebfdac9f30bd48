package org.foxtailridge.routing.queue;

import org.foxtailridge.configuration.model.WorkClass;

/**
 * Bounds and times of the request queues. Immutable.
 *
 * <pre>{@code
 * QueueSettings settings = QueueSettings.builder().maximumPerTarget(256).build();
 * }</pre>
 *
 * @param maximumPerTarget maximum number of waiting requests for one model or service
 * @param maximumTotal maximum number of waiting requests in all queues
 * @param interactiveMaximumWaitMilliseconds maximum wait of interactive requests without a deadline
 * @param batchMaximumWaitMilliseconds maximum wait of batch requests without a deadline
 * @param urgentBeforeDeadlineMilliseconds time before its deadline at which a request due by a time
 *     becomes urgent
 * @param urgentAfterWaitMilliseconds wait after which a request that must complete becomes urgent
 * @param overdueAfterWaitMilliseconds wait after which an interactive request is overdue, so that
 *     requests that can still be answered in time are served before it
 * @param preemptAfterWaitMilliseconds wait of an interactive request after which a batch attempt
 *     may be cancelled for it
 * @param attemptTimeoutMilliseconds time after which a running attempt is ended as cancelled,
 *     because the event of its end was lost
 * @param maximumPreemptions how often one request may be preempted; 0 disables preemption
 */
public record QueueSettings(
        int maximumPerTarget,
        int maximumTotal,
        long interactiveMaximumWaitMilliseconds,
        long batchMaximumWaitMilliseconds,
        long urgentBeforeDeadlineMilliseconds,
        long urgentAfterWaitMilliseconds,
        long overdueAfterWaitMilliseconds,
        long preemptAfterWaitMilliseconds,
        long attemptTimeoutMilliseconds,
        int maximumPreemptions) {
    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException when a bound, maximum wait or the attempt timeout is 0 or
     *     less
     */
    public QueueSettings {
        requirePositive(maximumPerTarget, "maximumPerTarget");
        requirePositive(maximumTotal, "maximumTotal");
        requirePositive(interactiveMaximumWaitMilliseconds, "interactiveMaximumWaitMilliseconds");
        requirePositive(batchMaximumWaitMilliseconds, "batchMaximumWaitMilliseconds");
        requirePositive(attemptTimeoutMilliseconds, "attemptTimeoutMilliseconds");
    }

    /** Returns a builder with default values. */
    public static Builder builder() {
        return new Builder();
    }

    long maximumWaitMilliseconds(WorkClass workClass) {
        return workClass == WorkClass.INTERACTIVE
                ? interactiveMaximumWaitMilliseconds
                : batchMaximumWaitMilliseconds;
    }

    private static void requirePositive(long value, String name) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be above 0 but was " + value);
        }
    }

    /** Builds {@link QueueSettings}. */
    public static final class Builder {
        private int mMaximumPerTarget = 512;
        private int mMaximumTotal = 8_192;
        private long mInteractiveMaximumWaitMilliseconds = 10_000;
        private long mBatchMaximumWaitMilliseconds = 600_000;
        private long mUrgentBeforeDeadlineMilliseconds = 30_000;
        private long mUrgentAfterWaitMilliseconds = 60_000;
        private long mOverdueAfterWaitMilliseconds = 300;
        private long mPreemptAfterWaitMilliseconds = 50;
        private long mAttemptTimeoutMilliseconds = 3_600_000;
        private int mMaximumPreemptions = 1;

        private Builder() {}

        /** Sets the maximum number of waiting requests for one model or service; 512 by default. */
        public Builder maximumPerTarget(int requests) {
            mMaximumPerTarget = requests;
            return this;
        }

        /** Sets the maximum number of waiting requests in all queues; 8,192 by default. */
        public Builder maximumTotal(int requests) {
            mMaximumTotal = requests;
            return this;
        }

        /** Sets the maximum wait of interactive requests without a deadline; 10 s by default. */
        public Builder interactiveMaximumWaitMilliseconds(long milliseconds) {
            mInteractiveMaximumWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the maximum wait of batch requests without a deadline; 10 minutes by default. */
        public Builder batchMaximumWaitMilliseconds(long milliseconds) {
            mBatchMaximumWaitMilliseconds = milliseconds;
            return this;
        }

        /**
         * Sets the time before its deadline at which work due by a time is urgent; 30 s by default.
         */
        public Builder urgentBeforeDeadlineMilliseconds(long milliseconds) {
            mUrgentBeforeDeadlineMilliseconds = milliseconds;
            return this;
        }

        /** Sets the wait after which work that must complete is urgent; 60 s by default. */
        public Builder urgentAfterWaitMilliseconds(long milliseconds) {
            mUrgentAfterWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the wait after which an interactive request is overdue; 300 ms by default. */
        public Builder overdueAfterWaitMilliseconds(long milliseconds) {
            mOverdueAfterWaitMilliseconds = milliseconds;
            return this;
        }

        /**
         * Sets the wait of an interactive request after which a batch attempt may be cancelled for
         * it; 50 ms by default.
         */
        public Builder preemptAfterWaitMilliseconds(long milliseconds) {
            mPreemptAfterWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time after which a running attempt is ended as cancelled; 1 h by default. */
        public Builder attemptTimeoutMilliseconds(long milliseconds) {
            mAttemptTimeoutMilliseconds = milliseconds;
            return this;
        }

        /** Sets how often one request may be preempted; 1 by default, 0 disables preemption. */
        public Builder maximumPreemptions(int preemptions) {
            mMaximumPreemptions = preemptions;
            return this;
        }

        /** Returns the settings. */
        public QueueSettings build() {
            return new QueueSettings(
                    mMaximumPerTarget,
                    mMaximumTotal,
                    mInteractiveMaximumWaitMilliseconds,
                    mBatchMaximumWaitMilliseconds,
                    mUrgentBeforeDeadlineMilliseconds,
                    mUrgentAfterWaitMilliseconds,
                    mOverdueAfterWaitMilliseconds,
                    mPreemptAfterWaitMilliseconds,
                    mAttemptTimeoutMilliseconds,
                    mMaximumPreemptions);
        }
    }
}
