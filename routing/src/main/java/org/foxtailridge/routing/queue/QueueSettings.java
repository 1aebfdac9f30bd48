package org.foxtailridge.routing.queue;

import org.foxtailridge.configuration.model.WorkClass;

/**
 * Bounds and times of the queues.
 *
 * <pre>{@code
 * QueueSettings settings = QueueSettings.builder().maximumPerTarget(256).build();
 * }</pre>
 *
 * @param maximumPerTarget requests that wait for one model or service
 * @param maximumTotal requests that wait in all
 * @param interactivePatienceMilliseconds longest wait of interactive work without a deadline
 * @param batchPatienceMilliseconds longest wait of other work without a deadline
 * @param urgentBeforeDeadlineMilliseconds time before its deadline from which work due by a time is
 *     urgent
 * @param urgentAfterWaitMilliseconds wait after which work that must complete is urgent
 * @param overdueAfterWaitMilliseconds wait after which interactive work lets that go first which
 *     can still be answered in time
 * @param preemptAfterWaitMilliseconds wait of interactive work after which batch work is cancelled
 * @param attemptTimeoutMilliseconds time after which an attempt whose end was never told counts no
 *     more
 * @param maximumPreemptions how often a request may be cancelled to make room
 */
public record QueueSettings(
        int maximumPerTarget,
        int maximumTotal,
        long interactivePatienceMilliseconds,
        long batchPatienceMilliseconds,
        long urgentBeforeDeadlineMilliseconds,
        long urgentAfterWaitMilliseconds,
        long overdueAfterWaitMilliseconds,
        long preemptAfterWaitMilliseconds,
        long attemptTimeoutMilliseconds,
        int maximumPreemptions) {
    /** Checks the bounds. */
    public QueueSettings {
        requirePositive(maximumPerTarget, "maximumPerTarget");
        requirePositive(maximumTotal, "maximumTotal");
        requirePositive(interactivePatienceMilliseconds, "interactivePatienceMilliseconds");
        requirePositive(batchPatienceMilliseconds, "batchPatienceMilliseconds");
        requirePositive(attemptTimeoutMilliseconds, "attemptTimeoutMilliseconds");
    }

    /** Returns a builder with default values. */
    public static Builder builder() {
        return new Builder();
    }

    long patienceMilliseconds(WorkClass workClass) {
        return workClass == WorkClass.INTERACTIVE
                ? interactivePatienceMilliseconds
                : batchPatienceMilliseconds;
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
        private long mInteractivePatienceMilliseconds = 10_000;
        private long mBatchPatienceMilliseconds = 600_000;
        private long mUrgentBeforeDeadlineMilliseconds = 30_000;
        private long mUrgentAfterWaitMilliseconds = 60_000;
        private long mOverdueAfterWaitMilliseconds = 300;
        private long mPreemptAfterWaitMilliseconds = 50;
        private long mAttemptTimeoutMilliseconds = 3_600_000;
        private int mMaximumPreemptions = 1;

        private Builder() {}

        /** Sets the requests that wait for one model or service. */
        public Builder maximumPerTarget(int requests) {
            mMaximumPerTarget = requests;
            return this;
        }

        /** Sets the requests that wait in all. */
        public Builder maximumTotal(int requests) {
            mMaximumTotal = requests;
            return this;
        }

        /** Sets the longest wait of interactive work without a deadline, in milliseconds. */
        public Builder interactivePatienceMilliseconds(long milliseconds) {
            mInteractivePatienceMilliseconds = milliseconds;
            return this;
        }

        /** Sets the longest wait of other work without a deadline, in milliseconds. */
        public Builder batchPatienceMilliseconds(long milliseconds) {
            mBatchPatienceMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time before its deadline from which work is urgent, in milliseconds. */
        public Builder urgentBeforeDeadlineMilliseconds(long milliseconds) {
            mUrgentBeforeDeadlineMilliseconds = milliseconds;
            return this;
        }

        /** Sets the wait after which work that must complete is urgent, in milliseconds. */
        public Builder urgentAfterWaitMilliseconds(long milliseconds) {
            mUrgentAfterWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the wait after which interactive work lets fresh work go first, in milliseconds. */
        public Builder overdueAfterWaitMilliseconds(long milliseconds) {
            mOverdueAfterWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the wait of interactive work after which batch work is cancelled. */
        public Builder preemptAfterWaitMilliseconds(long milliseconds) {
            mPreemptAfterWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time after which an attempt whose end was never told counts no more. */
        public Builder attemptTimeoutMilliseconds(long milliseconds) {
            mAttemptTimeoutMilliseconds = milliseconds;
            return this;
        }

        /** Sets how often a request may be cancelled to make room. */
        public Builder maximumPreemptions(int preemptions) {
            mMaximumPreemptions = preemptions;
            return this;
        }

        /** Returns the settings. */
        public QueueSettings build() {
            return new QueueSettings(
                    mMaximumPerTarget,
                    mMaximumTotal,
                    mInteractivePatienceMilliseconds,
                    mBatchPatienceMilliseconds,
                    mUrgentBeforeDeadlineMilliseconds,
                    mUrgentAfterWaitMilliseconds,
                    mOverdueAfterWaitMilliseconds,
                    mPreemptAfterWaitMilliseconds,
                    mAttemptTimeoutMilliseconds,
                    mMaximumPreemptions);
        }
    }
}
