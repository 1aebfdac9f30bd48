package org.foxtailridge.routing;

import java.util.Objects;

/**
 * Settings of the {@link ExpectedTimeRouter}. Immutable.
 *
 * <pre>{@code
 * RoutingSettings settings = RoutingSettings.builder("lautoka-a").randomCandidates(5).build();
 * }</pre>
 */
public final class RoutingSettings {
    private final Builder mValues;

    private RoutingSettings(Builder values) {
        mValues = values;
    }

    /** Returns a builder with default values for a node in the data centre. */
    public static Builder builder(String dataCentre) {
        return new Builder(dataCentre);
    }

    /** Returns the data centre of this node. */
    public String dataCentre() {
        return mValues.mDataCentre;
    }

    /** Returns the expected round trip to another data centre, in milliseconds. */
    public double dataCentreRoundTripMilliseconds() {
        return mValues.mDataCentreRoundTripMilliseconds;
    }

    /** Returns the expected computing time of one prompt token, in milliseconds. */
    public double millisecondsPerPromptToken() {
        return mValues.mMillisecondsPerPromptToken;
    }

    /** Returns the expected delay of a first token by each attempt in flight, in milliseconds. */
    public double millisecondsPerRunningRequest() {
        return mValues.mMillisecondsPerRunningRequest;
    }

    /** Returns the expected time to load an adapter, in milliseconds. */
    public double adapterLoadMilliseconds() {
        return mValues.mAdapterLoadMilliseconds;
    }

    /** Returns the target that the time between tokens is kept below, in milliseconds. */
    public double targetBetweenTokensMilliseconds() {
        return mValues.mTargetBetweenTokensMilliseconds;
    }

    /** Returns the target of the time to the first token, in milliseconds. */
    public double targetFirstTokenMilliseconds() {
        return mValues.mTargetFirstTokenMilliseconds;
    }

    /** Returns the number of endpoints drawn at random for each decision. */
    public int randomCandidates() {
        return mValues.mRandomCandidates;
    }

    /** Returns the number of further endpoints scored because of a prefix or an adapter. */
    public int preferredCandidates() {
        return mValues.mPreferredCandidates;
    }

    /** Returns the share of a concurrency limit that batch requests leave to interactive ones. */
    public double interactiveReservedShare() {
        return mValues.mInteractiveReservedShare;
    }

    /** Returns the maximum attempts in flight on an endpoint that gets an isolated request. */
    public int maximumAttemptsBesideIsolated() {
        return mValues.mMaximumAttemptsBesideIsolated;
    }

    /** Returns the maximum number of prefixes in the index, over all endpoints. */
    public int maximumPrefixes() {
        return mValues.mMaximumPrefixes;
    }

    /** Returns the maximum number of endpoints in the index for each prefix. */
    public int maximumEndpointsPerPrefix() {
        return mValues.mMaximumEndpointsPerPrefix;
    }

    /** Returns the maximum number of prefixes of a prompt that are looked up, longest first. */
    public int maximumPrefixesLookedUp() {
        return mValues.mMaximumPrefixesLookedUp;
    }

    /** Returns the time after which a prefix expires without a new event, in milliseconds. */
    public long prefixExpiryMilliseconds() {
        return mValues.mPrefixExpiryMilliseconds;
    }

    /** Returns the time after a gap in the events at which prefixes expire, in milliseconds. */
    public long prefixExpiryAfterGapMilliseconds() {
        return mValues.mPrefixExpiryAfterGapMilliseconds;
    }

    /** Returns the number of consecutive failures after which an endpoint is ejected. */
    public int failuresBeforeEjection() {
        return mValues.mFailuresBeforeEjection;
    }

    /** Returns the duration of a first ejection, in milliseconds. */
    public long ejectionMilliseconds() {
        return mValues.mEjectionMilliseconds;
    }

    /** Returns the maximum share of a pool that may be ejected at once. */
    public double maximumEjectedShare() {
        return mValues.mMaximumEjectedShare;
    }

    /** Returns the duration of the ramp-up of a returning endpoint, in milliseconds. */
    public long rampMilliseconds() {
        return mValues.mRampMilliseconds;
    }

    /** Returns the share of its concurrency limit that a returning endpoint starts with. */
    public double rampInitialShare() {
        return mValues.mRampInitialShare;
    }

    /** Returns the number of attempts in flight at which new requests are refused. */
    public int maximumAttemptsInFlight() {
        return mValues.mMaximumAttemptsInFlight;
    }

    /** Builds {@link RoutingSettings}. */
    public static final class Builder {
        private final String mDataCentre;
        private double mDataCentreRoundTripMilliseconds = 3;
        private double mMillisecondsPerPromptToken = 0.1;
        private double mMillisecondsPerRunningRequest = 1;
        private double mAdapterLoadMilliseconds = 10;
        private double mTargetBetweenTokensMilliseconds = 45;
        private double mTargetFirstTokenMilliseconds = 400;
        private int mRandomCandidates = 5;
        private int mPreferredCandidates = 4;
        private double mInteractiveReservedShare = 0.2;
        private int mMaximumAttemptsBesideIsolated = 1;
        private int mMaximumPrefixes = 65_536;
        private int mMaximumEndpointsPerPrefix = 4;
        private int mMaximumPrefixesLookedUp = 8;
        private long mPrefixExpiryMilliseconds = 120_000;
        private long mPrefixExpiryAfterGapMilliseconds = 20_000;
        private int mFailuresBeforeEjection = 3;
        private long mEjectionMilliseconds = 5_000;
        private double mMaximumEjectedShare = 0.5;
        private long mRampMilliseconds = 10_000;
        private double mRampInitialShare = 0.1;
        private int mMaximumAttemptsInFlight = 16_384;

        private Builder(String dataCentre) {
            mDataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        }

        private Builder(Builder other) {
            mDataCentre = other.mDataCentre;
            mDataCentreRoundTripMilliseconds = other.mDataCentreRoundTripMilliseconds;
            mMillisecondsPerPromptToken = other.mMillisecondsPerPromptToken;
            mMillisecondsPerRunningRequest = other.mMillisecondsPerRunningRequest;
            mAdapterLoadMilliseconds = other.mAdapterLoadMilliseconds;
            mTargetBetweenTokensMilliseconds = other.mTargetBetweenTokensMilliseconds;
            mTargetFirstTokenMilliseconds = other.mTargetFirstTokenMilliseconds;
            mRandomCandidates = other.mRandomCandidates;
            mPreferredCandidates = other.mPreferredCandidates;
            mInteractiveReservedShare = other.mInteractiveReservedShare;
            mMaximumAttemptsBesideIsolated = other.mMaximumAttemptsBesideIsolated;
            mMaximumPrefixes = other.mMaximumPrefixes;
            mMaximumEndpointsPerPrefix = other.mMaximumEndpointsPerPrefix;
            mMaximumPrefixesLookedUp = other.mMaximumPrefixesLookedUp;
            mPrefixExpiryMilliseconds = other.mPrefixExpiryMilliseconds;
            mPrefixExpiryAfterGapMilliseconds = other.mPrefixExpiryAfterGapMilliseconds;
            mFailuresBeforeEjection = other.mFailuresBeforeEjection;
            mEjectionMilliseconds = other.mEjectionMilliseconds;
            mMaximumEjectedShare = other.mMaximumEjectedShare;
            mRampMilliseconds = other.mRampMilliseconds;
            mRampInitialShare = other.mRampInitialShare;
            mMaximumAttemptsInFlight = other.mMaximumAttemptsInFlight;
        }

        /** Sets the expected round trip to another data centre; 3 ms by default. */
        public Builder dataCentreRoundTripMilliseconds(double milliseconds) {
            mDataCentreRoundTripMilliseconds =
                    requireAtLeast(0, milliseconds, "dataCentreRoundTripMilliseconds");
            return this;
        }

        /** Sets the expected computing time of one prompt token; 0.1 ms by default. */
        public Builder millisecondsPerPromptToken(double milliseconds) {
            mMillisecondsPerPromptToken =
                    requireAtLeast(0, milliseconds, "millisecondsPerPromptToken");
            return this;
        }

        /** Sets the expected delay of a first token by each attempt in flight; 1 ms by default. */
        public Builder millisecondsPerRunningRequest(double milliseconds) {
            mMillisecondsPerRunningRequest =
                    requireAtLeast(0, milliseconds, "millisecondsPerRunningRequest");
            return this;
        }

        /** Sets the expected time to load an adapter; 10 ms by default. */
        public Builder adapterLoadMilliseconds(double milliseconds) {
            mAdapterLoadMilliseconds = requireAtLeast(0, milliseconds, "adapterLoadMilliseconds");
            return this;
        }

        /** Sets the target of the time between tokens; at least 1 ms, 45 ms by default. */
        public Builder targetBetweenTokensMilliseconds(double milliseconds) {
            mTargetBetweenTokensMilliseconds =
                    requireAtLeast(1, milliseconds, "targetBetweenTokensMilliseconds");
            return this;
        }

        /** Sets the target of the time to the first token; at least 1 ms, 400 ms by default. */
        public Builder targetFirstTokenMilliseconds(double milliseconds) {
            mTargetFirstTokenMilliseconds =
                    requireAtLeast(1, milliseconds, "targetFirstTokenMilliseconds");
            return this;
        }

        /** Sets the number of endpoints drawn at random; at least 1, 5 by default. */
        public Builder randomCandidates(int count) {
            mRandomCandidates = (int) requireAtLeast(1, count, "randomCandidates");
            return this;
        }

        /** Sets the number of further endpoints for a prefix or an adapter; 4 by default. */
        public Builder preferredCandidates(int count) {
            mPreferredCandidates = (int) requireAtLeast(0, count, "preferredCandidates");
            return this;
        }

        /** Sets the share of a concurrency limit that batch requests leave; 0.2 by default. */
        public Builder interactiveReservedShare(double share) {
            mInteractiveReservedShare = requireShare(share, "interactiveReservedShare");
            return this;
        }

        /** Sets the maximum attempts in flight beside an isolated request; 1 by default. */
        public Builder maximumAttemptsBesideIsolated(int count) {
            mMaximumAttemptsBesideIsolated =
                    (int) requireAtLeast(0, count, "maximumAttemptsBesideIsolated");
            return this;
        }

        /** Sets the maximum number of prefixes in the index; at least 1, 65,536 by default. */
        public Builder maximumPrefixes(int count) {
            mMaximumPrefixes = (int) requireAtLeast(1, count, "maximumPrefixes");
            return this;
        }

        /** Sets the time after which a prefix expires without a new event; 120 s by default. */
        public Builder prefixExpiryMilliseconds(long milliseconds) {
            mPrefixExpiryMilliseconds =
                    (long) requireAtLeast(0, milliseconds, "prefixExpiryMilliseconds");
            return this;
        }

        /** Sets the time after a gap at which prefixes expire; 20 s by default. */
        public Builder prefixExpiryAfterGapMilliseconds(long milliseconds) {
            mPrefixExpiryAfterGapMilliseconds =
                    (long) requireAtLeast(0, milliseconds, "prefixExpiryAfterGapMilliseconds");
            return this;
        }

        /** Sets the consecutive failures before an ejection; at least 1, 3 by default. */
        public Builder failuresBeforeEjection(int count) {
            mFailuresBeforeEjection = (int) requireAtLeast(1, count, "failuresBeforeEjection");
            return this;
        }

        /** Sets the duration of a first ejection; at least 1 ms, 5 s by default. */
        public Builder ejectionMilliseconds(long milliseconds) {
            mEjectionMilliseconds = (long) requireAtLeast(1, milliseconds, "ejectionMilliseconds");
            return this;
        }

        /** Sets the maximum share of a pool that may be ejected; 0.5 by default. */
        public Builder maximumEjectedShare(double share) {
            mMaximumEjectedShare = requireShare(share, "maximumEjectedShare");
            return this;
        }

        /** Sets the duration of the ramp-up; at least 1 ms, 10 s by default. */
        public Builder rampMilliseconds(long milliseconds) {
            mRampMilliseconds = (long) requireAtLeast(1, milliseconds, "rampMilliseconds");
            return this;
        }

        /** Sets the attempts in flight at which requests are refused; 16,384 by default. */
        public Builder maximumAttemptsInFlight(int count) {
            mMaximumAttemptsInFlight = (int) requireAtLeast(1, count, "maximumAttemptsInFlight");
            return this;
        }

        /** Returns the settings. */
        public RoutingSettings build() {
            return new RoutingSettings(new Builder(this));
        }

        private static double requireAtLeast(double minimum, double value, String name) {
            if (!(value >= minimum)) {
                throw new IllegalArgumentException(
                        name + " must be at least " + minimum + " but was " + value);
            }
            return value;
        }

        private static double requireShare(double value, String name) {
            if (!(value >= 0 && value <= 1)) {
                throw new IllegalArgumentException(
                        name + " must be between 0 and 1 but was " + value);
            }
            return value;
        }
    }
}
