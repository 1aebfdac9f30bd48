package org.foxtailridge.placement.order;

import java.time.Duration;

/** Times and bounds of orders. */
public final class OrderSettings {
    private final Duration mSendWindow;
    private final Duration mAppendTimeout;
    private final Duration mQueryInterval;
    private final Duration mCarryInterval;
    private final Duration mSlotTime;
    private final Duration mLongestDelay;
    private final Duration mLateOrderTime;
    private final int mMaximumUnresolved;
    private final int mRememberedRecords;

    private OrderSettings(Builder builder) {
        mSendWindow = builder.mSendWindow;
        mAppendTimeout = builder.mAppendTimeout;
        mQueryInterval = builder.mQueryInterval;
        mCarryInterval = builder.mCarryInterval;
        mSlotTime = builder.mSlotTime;
        mLongestDelay = builder.mLongestDelay;
        mLateOrderTime = builder.mLateOrderTime;
        mMaximumUnresolved = builder.mMaximumUnresolved;
        mRememberedRecords = builder.mRememberedRecords;
    }

    /** Returns the default settings. */
    public static OrderSettings defaults() {
        return builder().build();
    }

    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns how long after its append an order may be sent, beside the store's delay. */
    public Duration sendWindow() {
        return mSendWindow;
    }

    /** Returns the time after which a record that was not read back is appended again. */
    public Duration appendTimeout() {
        return mAppendTimeout;
    }

    /** Returns the time between queries of an order's state. */
    public Duration queryInterval() {
        return mQueryInterval;
    }

    /** Returns the time between repetitions of an endpoint's state; below half the retention. */
    public Duration carryInterval() {
        return mCarryInterval;
    }

    /** Returns the time after which a load without news frees its place at the weight store. */
    public Duration slotTime() {
        return mSlotTime;
    }

    /** Returns the longest time that an admitted load waits for its turn at the store. */
    public Duration longestDelay() {
        return mLongestDelay;
    }

    /** Returns the time after which no transmission of an ended order can arrive any more. */
    public Duration lateOrderTime() {
        return mLateOrderTime;
    }

    /** Returns how many orders of an endpoint may be without an end. */
    public int maximumUnresolved() {
        return mMaximumUnresolved;
    }

    /** Returns how many record identifiers are kept to tell a record that the log holds twice. */
    public int rememberedRecords() {
        return mRememberedRecords;
    }

    /** Builds {@link OrderSettings}. */
    public static final class Builder {
        private Duration mSendWindow = Duration.ofSeconds(5);
        private Duration mAppendTimeout = Duration.ofSeconds(10);
        private Duration mQueryInterval = Duration.ofSeconds(1);
        private Duration mCarryInterval = Duration.ofMinutes(10);
        private Duration mSlotTime = Duration.ofMinutes(2);
        private Duration mLongestDelay = Duration.ofSeconds(3);
        private Duration mLateOrderTime = Duration.ofHours(1);
        private int mMaximumUnresolved = 64;
        private int mRememberedRecords = 10_000;

        private Builder() {}

        /** Sets how long after its append an order may be sent. */
        public Builder sendWindow(Duration sendWindow) {
            mSendWindow = sendWindow;
            return this;
        }

        /** Sets the time after which a record is appended again. */
        public Builder appendTimeout(Duration appendTimeout) {
            mAppendTimeout = appendTimeout;
            return this;
        }

        /** Sets the time between queries of an order's state. */
        public Builder queryInterval(Duration queryInterval) {
            mQueryInterval = queryInterval;
            return this;
        }

        /** Sets the time between repetitions of an endpoint's state. */
        public Builder carryInterval(Duration carryInterval) {
            mCarryInterval = carryInterval;
            return this;
        }

        /** Sets the time after which a load without news frees its place. */
        public Builder slotTime(Duration slotTime) {
            mSlotTime = slotTime;
            return this;
        }

        /** Sets the longest time that an admitted load waits for its turn. */
        public Builder longestDelay(Duration longestDelay) {
            mLongestDelay = longestDelay;
            return this;
        }

        /** Sets the time after which no transmission of an ended order can arrive any more. */
        public Builder lateOrderTime(Duration lateOrderTime) {
            mLateOrderTime = lateOrderTime;
            return this;
        }

        /** Sets how many orders of an endpoint may be without an end; 1 or more. */
        public Builder maximumUnresolved(int maximumUnresolved) {
            if (maximumUnresolved < 1) {
                throw new IllegalArgumentException(
                        "maximumUnresolved must be 1 or more but was " + maximumUnresolved);
            }
            mMaximumUnresolved = maximumUnresolved;
            return this;
        }

        /** Sets how many record identifiers are kept; 1 or more. */
        public Builder rememberedRecords(int rememberedRecords) {
            mRememberedRecords = rememberedRecords;
            return this;
        }

        /** Returns the settings. */
        public OrderSettings build() {
            return new OrderSettings(this);
        }
    }
}
