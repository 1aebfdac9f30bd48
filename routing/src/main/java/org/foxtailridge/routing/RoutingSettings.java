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

    /** Returns a builder with default values for a node of the data centre. */
    public static Builder builder(String dataCentre) {
        return new Builder(dataCentre);
    }

    /** Returns the data centre of this node. */
    public String dataCentre() {
        return mValues.mDataCentre;
    }

    /** Returns the round trip to another data centre, in milliseconds. */
    public double distanceMilliseconds() {
        return mValues.mDistanceMilliseconds;
    }

    /** Returns the time that an engine takes to compute a token of a prompt, in milliseconds. */
    public double millisecondsPerPromptToken() {
        return mValues.mMillisecondsPerPromptToken;
    }

    /** Returns by how much each running request delays a first token, in milliseconds. */
    public double millisecondsPerRunningRequest() {
        return mValues.mMillisecondsPerRunningRequest;
    }

    /** Returns the time that an adapter takes to be loaded, in milliseconds. */
    public double adapterLoadMilliseconds() {
        return mValues.mAdapterFetchMilliseconds;
    }

    /** Returns the time between tokens that endpoints are kept below, in milliseconds. */
    public double targetBetweenTokensMilliseconds() {
        return mValues.mBetweenTokensMilliseconds;
    }

    /** Returns the expected time to the first token above which requests wait, in milliseconds. */
    public double firstTokenMilliseconds() {
        return mValues.mFirstTokenMilliseconds;
    }

    /** Returns the endpoints drawn at random for each decision. */
    public int randomCandidates() {
        return mValues.mRandomCandidates;
    }

    /** Returns the endpoints scored besides for a prefix or an adapter. */
    public int preferredCandidates() {
        return mValues.mPreferredCandidates;
    }

    /** Returns the share of an endpoint's limit that batch work leaves free. */
    public double interactiveReserve() {
        return mValues.mInteractiveReserve;
    }

    /** Returns the attempts beside which an isolated request may run. */
    public int isolatedMaximumOthers() {
        return mValues.mIsolatedMaximumOthers;
    }

    /** Returns the prefixes remembered, over all endpoints. */
    public int maximumPrefixes() {
        return mValues.mMaximumPrefixes;
    }

    /** Returns the endpoints remembered for each prefix. */
    public int maximumHoldersPerPrefix() {
        return mValues.mMaximumHoldersPerPrefix;
    }

    /** Returns the prefixes of one prompt that are looked up, from the longest. */
    public int maximumPrefixesLookedUp() {
        return mValues.mMaximumPrefixesLookedUp;
    }

    /** Returns how long a prefix is believed cached without news of it, in milliseconds. */
    public long beliefMilliseconds() {
        return mValues.mBeliefMilliseconds;
    }

    /** Returns how long a prefix is believed cached after a gap in the events, in milliseconds. */
    public long staleBeliefMilliseconds() {
        return mValues.mStaleBeliefMilliseconds;
    }

    /** Returns the failures in a row after which an endpoint is ejected. */
    public int failuresBeforeEjection() {
        return mValues.mFailuresBeforeEjection;
    }

    /** Returns the length of a first ejection, in milliseconds. */
    public long ejectionMilliseconds() {
        return mValues.mEjectionMilliseconds;
    }

    /** Returns the largest share of a pool that may be ejected at once. */
    public double maximumEjectedShare() {
        return mValues.mMaximumEjectedShare;
    }

    /** Returns the length of the ramp of a returning endpoint, in milliseconds. */
    public long rampMilliseconds() {
        return mValues.mRampMilliseconds;
    }

    /** Returns the share of its limit that a returning endpoint starts with. */
    public double rampFloor() {
        return mValues.mRampFloor;
    }

    /** Returns the attempts in flight beyond which new requests are refused. */
    public int maximumAttempts() {
        return mValues.mMaximumAttempts;
    }

    /** Builds {@link RoutingSettings}. */
    public static final class Builder {
        private final String mDataCentre;
        private double mDistanceMilliseconds = 3;
        private double mMillisecondsPerPromptToken = 0.1;
        private double mMillisecondsPerRunningRequest = 1;
        private double mAdapterFetchMilliseconds = 10;
        private double mBetweenTokensMilliseconds = 45;
        private double mFirstTokenMilliseconds = 400;
        private int mRandomCandidates = 5;
        private int mPreferredCandidates = 4;
        private double mInteractiveReserve = 0.2;
        private int mIsolatedMaximumOthers = 1;
        private int mMaximumPrefixes = 65_536;
        private int mMaximumHoldersPerPrefix = 4;
        private int mMaximumPrefixesLookedUp = 8;
        private long mBeliefMilliseconds = 120_000;
        private long mStaleBeliefMilliseconds = 20_000;
        private int mFailuresBeforeEjection = 3;
        private long mEjectionMilliseconds = 5_000;
        private double mMaximumEjectedShare = 0.5;
        private long mRampMilliseconds = 10_000;
        private double mRampFloor = 0.1;
        private int mMaximumAttempts = 16_384;

        private Builder(String dataCentre) {
            mDataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        }

        private Builder(Builder other) {
            mDataCentre = other.mDataCentre;
            mDistanceMilliseconds = other.mDistanceMilliseconds;
            mMillisecondsPerPromptToken = other.mMillisecondsPerPromptToken;
            mMillisecondsPerRunningRequest = other.mMillisecondsPerRunningRequest;
            mAdapterFetchMilliseconds = other.mAdapterFetchMilliseconds;
            mBetweenTokensMilliseconds = other.mBetweenTokensMilliseconds;
            mFirstTokenMilliseconds = other.mFirstTokenMilliseconds;
            mRandomCandidates = other.mRandomCandidates;
            mPreferredCandidates = other.mPreferredCandidates;
            mInteractiveReserve = other.mInteractiveReserve;
            mIsolatedMaximumOthers = other.mIsolatedMaximumOthers;
            mMaximumPrefixes = other.mMaximumPrefixes;
            mMaximumHoldersPerPrefix = other.mMaximumHoldersPerPrefix;
            mMaximumPrefixesLookedUp = other.mMaximumPrefixesLookedUp;
            mBeliefMilliseconds = other.mBeliefMilliseconds;
            mStaleBeliefMilliseconds = other.mStaleBeliefMilliseconds;
            mFailuresBeforeEjection = other.mFailuresBeforeEjection;
            mEjectionMilliseconds = other.mEjectionMilliseconds;
            mMaximumEjectedShare = other.mMaximumEjectedShare;
            mRampMilliseconds = other.mRampMilliseconds;
            mRampFloor = other.mRampFloor;
            mMaximumAttempts = other.mMaximumAttempts;
        }

        /** Sets the round trip to another data centre, in milliseconds. */
        public Builder distanceMilliseconds(double milliseconds) {
            mDistanceMilliseconds = requireAtLeast(0, milliseconds, "distanceMilliseconds");
            return this;
        }

        /** Sets the time that an engine takes for a token of a prompt, in milliseconds. */
        public Builder millisecondsPerPromptToken(double milliseconds) {
            mMillisecondsPerPromptToken =
                    requireAtLeast(0, milliseconds, "millisecondsPerPromptToken");
            return this;
        }

        /** Sets by how much each running request delays a first token, in milliseconds. */
        public Builder millisecondsPerRunningRequest(double milliseconds) {
            mMillisecondsPerRunningRequest =
                    requireAtLeast(0, milliseconds, "millisecondsPerRunningRequest");
            return this;
        }

        /** Sets the time that an adapter takes to be loaded, in milliseconds. */
        public Builder adapterLoadMilliseconds(double milliseconds) {
            mAdapterFetchMilliseconds = requireAtLeast(0, milliseconds, "adapterFetchMilliseconds");
            return this;
        }

        /** Sets the time between tokens that endpoints are kept below; at least 1 millisecond. */
        public Builder targetBetweenTokensMilliseconds(double milliseconds) {
            mBetweenTokensMilliseconds =
                    requireAtLeast(1, milliseconds, "betweenTokensMilliseconds");
            return this;
        }

        /** Sets the expected time to the first token above which requests wait, in milliseconds. */
        public Builder firstTokenMilliseconds(double milliseconds) {
            mFirstTokenMilliseconds = requireAtLeast(1, milliseconds, "firstTokenMilliseconds");
            return this;
        }

        /** Sets the endpoints drawn at random for each decision; at least 1. */
        public Builder randomCandidates(int count) {
            mRandomCandidates = (int) requireAtLeast(1, count, "randomCandidates");
            return this;
        }

        /** Sets the endpoints scored besides for a prefix or an adapter. */
        public Builder preferredCandidates(int count) {
            mPreferredCandidates = (int) requireAtLeast(0, count, "preferredCandidates");
            return this;
        }

        /** Sets the share of an endpoint's limit that batch work leaves free. */
        public Builder interactiveReserve(double share) {
            mInteractiveReserve = requireShare(share, "interactiveReserve");
            return this;
        }

        /** Sets the attempts beside which an isolated request may run. */
        public Builder isolatedMaximumOthers(int count) {
            mIsolatedMaximumOthers = (int) requireAtLeast(0, count, "isolatedMaximumOthers");
            return this;
        }

        /** Sets the prefixes remembered, over all endpoints; at least 1. */
        public Builder maximumPrefixes(int count) {
            mMaximumPrefixes = (int) requireAtLeast(1, count, "maximumPrefixes");
            return this;
        }

        /** Sets how long a prefix is believed cached without news of it, in milliseconds. */
        public Builder beliefMilliseconds(long milliseconds) {
            mBeliefMilliseconds = (long) requireAtLeast(0, milliseconds, "beliefMilliseconds");
            return this;
        }

        /** Sets how long a prefix is believed cached after a gap, in milliseconds. */
        public Builder staleBeliefMilliseconds(long milliseconds) {
            mStaleBeliefMilliseconds =
                    (long) requireAtLeast(0, milliseconds, "staleBeliefMilliseconds");
            return this;
        }

        /** Sets the failures in a row after which an endpoint is ejected; at least 1. */
        public Builder failuresBeforeEjection(int count) {
            mFailuresBeforeEjection = (int) requireAtLeast(1, count, "failuresBeforeEjection");
            return this;
        }

        /** Sets the length of a first ejection, in milliseconds; at least 1. */
        public Builder ejectionMilliseconds(long milliseconds) {
            mEjectionMilliseconds = (long) requireAtLeast(1, milliseconds, "ejectionMilliseconds");
            return this;
        }

        /** Sets the largest share of a pool that may be ejected at once. */
        public Builder maximumEjectedShare(double share) {
            mMaximumEjectedShare = requireShare(share, "maximumEjectedShare");
            return this;
        }

        /** Sets the length of the ramp of a returning endpoint, in milliseconds; at least 1. */
        public Builder rampMilliseconds(long milliseconds) {
            mRampMilliseconds = (long) requireAtLeast(1, milliseconds, "rampMilliseconds");
            return this;
        }

        /** Sets the attempts in flight beyond which new requests are refused; at least 1. */
        public Builder maximumAttempts(int count) {
            mMaximumAttempts = (int) requireAtLeast(1, count, "maximumAttempts");
            return this;
        }

        /** Returns the settings. */
        public RoutingSettings build() {
            return new RoutingSettings(new Builder(this));
        }

        private static double requireAtLeast(double least, double value, String name) {
            if (!(value >= least)) {
                throw new IllegalArgumentException(
                        name + " must be at least " + least + " but was " + value);
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
