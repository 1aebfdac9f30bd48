package org.foxtailridge.placement.plan;

import java.time.Duration;

/** What the planner weighs moves with. */
public final class PlannerSettings {
    private final double mTokensPerSecondPerAccelerator;
    private final double mHighLoad;
    private final double mHysteresis;
    private final double mSmallestGain;
    private final double mCoverageValue;
    private final int mAdaptersWithRoom;
    private final Duration mShortestStay;
    private final Duration mAbsenceGrace;
    private final Duration mReservationTime;

    private PlannerSettings(Builder builder) {
        mTokensPerSecondPerAccelerator = builder.mTokensPerSecondPerAccelerator;
        mHighLoad = builder.mHighLoad;
        mHysteresis = builder.mHysteresis;
        mSmallestGain = builder.mSmallestGain;
        mCoverageValue = builder.mCoverageValue;
        mAdaptersWithRoom = builder.mAdaptersWithRoom;
        mShortestStay = builder.mShortestStay;
        mAbsenceGrace = builder.mAbsenceGrace;
        mReservationTime = builder.mReservationTime;
    }

    /** Returns the default settings. */
    public static PlannerSettings defaults() {
        return builder().build();
    }

    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the tokens a second that one accelerator serves. */
    public double tokensPerSecondPerAccelerator() {
        return mTokensPerSecondPerAccelerator;
    }

    /** Returns the load of an endpoint above which its models want more copies; 1 is full. */
    public double highLoad() {
        return mHighLoad;
    }

    /** Returns how many times more a move must bring than what it takes away. */
    public double hysteresis() {
        return mHysteresis;
    }

    /** Returns the least load, in accelerators, that a move must take off busy endpoints. */
    public double smallestGain() {
        return mSmallestGain;
    }

    /** Returns the value, in accelerators, of a model's only copy in a data centre. */
    public double coverageValue() {
        return mCoverageValue;
    }

    /** Returns for how many adapters of a model room is kept beside each copy. */
    public int adaptersWithRoom() {
        return mAdaptersWithRoom;
    }

    /** Returns how long a copy stays before demand may displace it. */
    public Duration shortestStay() {
        return mShortestStay;
    }

    /** Returns how long the copies of an endpoint that does not answer are still counted on. */
    public Duration absenceGrace() {
        return mAbsenceGrace;
    }

    /** Returns how long room that is being cleared is kept for the model that it is for. */
    public Duration reservationTime() {
        return mReservationTime;
    }

    /** Builds {@link PlannerSettings}. */
    public static final class Builder {
        private double mTokensPerSecondPerAccelerator = 2_500;
        private double mHighLoad = 0.7;
        private double mHysteresis = 2;
        private double mSmallestGain = 0.05;
        private double mCoverageValue = 0.05;
        private int mAdaptersWithRoom = 4;
        private Duration mShortestStay = Duration.ofMinutes(10);
        private Duration mAbsenceGrace = Duration.ofMinutes(2);
        private Duration mReservationTime = Duration.ofMinutes(1);

        private Builder() {}

        /** Sets the tokens a second that one accelerator serves; above 0. */
        public Builder tokensPerSecondPerAccelerator(double tokensPerSecond) {
            if (!(tokensPerSecond > 0)) {
                throw new IllegalArgumentException(
                        "tokensPerSecond must be above 0 but was " + tokensPerSecond);
            }
            mTokensPerSecondPerAccelerator = tokensPerSecond;
            return this;
        }

        /** Sets the load above which models want more copies. */
        public Builder highLoad(double highLoad) {
            mHighLoad = highLoad;
            return this;
        }

        /** Sets how many times more a move must bring than what it takes away; 1 or more. */
        public Builder hysteresis(double hysteresis) {
            mHysteresis = hysteresis;
            return this;
        }

        /** Sets the least load, in accelerators, that a move must take off busy endpoints. */
        public Builder smallestGain(double smallestGain) {
            mSmallestGain = smallestGain;
            return this;
        }

        /** Sets the value, in accelerators, of a model's only copy in a data centre. */
        public Builder coverageValue(double coverageValue) {
            mCoverageValue = coverageValue;
            return this;
        }

        /** Sets for how many adapters of a model room is kept beside each copy. */
        public Builder adaptersWithRoom(int adaptersWithRoom) {
            mAdaptersWithRoom = adaptersWithRoom;
            return this;
        }

        /** Sets how long a copy stays before demand may displace it. */
        public Builder shortestStay(Duration shortestStay) {
            mShortestStay = shortestStay;
            return this;
        }

        /** Sets how long the copies of an endpoint that does not answer are still counted on. */
        public Builder absenceGrace(Duration absenceGrace) {
            mAbsenceGrace = absenceGrace;
            return this;
        }

        /** Sets how long room that is being cleared is kept. */
        public Builder reservationTime(Duration reservationTime) {
            mReservationTime = reservationTime;
            return this;
        }

        /** Returns the settings. */
        public PlannerSettings build() {
            return new PlannerSettings(this);
        }
    }
}
