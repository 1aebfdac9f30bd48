package org.foxtailridge.membership.probe;

import java.time.Duration;
import org.foxtailridge.core.check.Arguments;

/**
 * Settings of membership. Immutable.
 *
 * <pre>{@code
 * MembershipSettings settings = MembershipSettings.builder().indirectProbes(3).build();
 * }</pre>
 */
public final class MembershipSettings {
    private final Duration mProbePeriod;
    private final Duration mAcknowledgementTimeout;
    private final Duration mSuspicionUnit;
    private final Duration mForgetAfter;
    private final int mIndirectProbes;
    private final int mUpdatesPerMessage;
    private final int mSpreadFactor;
    private final int mFarProbeEvery;
    private final int mDeadProbeEvery;
    private final int mMaximumMembers;

    private MembershipSettings(Builder builder) {
        mProbePeriod = builder.mProbePeriod;
        mAcknowledgementTimeout = builder.mAcknowledgementTimeout;
        mSuspicionUnit = builder.mSuspicionUnit;
        mForgetAfter = builder.mForgetAfter;
        mIndirectProbes = builder.mIndirectProbes;
        mUpdatesPerMessage = builder.mUpdatesPerMessage;
        mSpreadFactor = builder.mSpreadFactor;
        mFarProbeEvery = builder.mFarProbeEvery;
        mDeadProbeEvery = builder.mDeadProbeEvery;
        mMaximumMembers = builder.mMaximumMembers;
    }

    /** Returns the default settings. */
    public static MembershipSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    Duration probePeriod() {
        return mProbePeriod;
    }

    Duration acknowledgementTimeout() {
        return mAcknowledgementTimeout;
    }

    Duration suspicionUnit() {
        return mSuspicionUnit;
    }

    Duration forgetAfter() {
        return mForgetAfter;
    }

    int indirectProbes() {
        return mIndirectProbes;
    }

    int updatesPerMessage() {
        return mUpdatesPerMessage;
    }

    int spreadFactor() {
        return mSpreadFactor;
    }

    int farProbeEvery() {
        return mFarProbeEvery;
    }

    int deadProbeEvery() {
        return mDeadProbeEvery;
    }

    int maximumMembers() {
        return mMaximumMembers;
    }

    /** Builds {@link MembershipSettings}. */
    public static final class Builder {
        private Duration mProbePeriod = Duration.ofSeconds(1);
        private Duration mAcknowledgementTimeout = Duration.ofMillis(300);
        private Duration mSuspicionUnit = Duration.ofSeconds(3);
        private Duration mForgetAfter = Duration.ofMinutes(2);
        private int mIndirectProbes = 3;
        private int mUpdatesPerMessage = 12;
        private int mSpreadFactor = 3;
        private int mFarProbeEvery = 3;
        private int mDeadProbeEvery = 5;
        private int mMaximumMembers = 4_096;

        private Builder() {}

        /** Sets the time between two probes. */
        public Builder probePeriod(Duration probePeriod) {
            mProbePeriod = Arguments.requirePositiveDuration(probePeriod, "probePeriod");
            return this;
        }

        /** Sets the time after which other nodes are asked to probe the target. */
        public Builder acknowledgementTimeout(Duration acknowledgementTimeout) {
            mAcknowledgementTimeout =
                    Arguments.requirePositiveDuration(
                            acknowledgementTimeout, "acknowledgementTimeout");
            return this;
        }

        /** Sets the time that a suspect has to refute, for each power of ten of nodes. */
        public Builder baseSuspicionTimeout(Duration suspicionUnit) {
            mSuspicionUnit = Arguments.requirePositiveDuration(suspicionUnit, "suspicionUnit");
            return this;
        }

        /** Sets the time for which a dead node that is not listed is remembered. */
        public Builder deadMemberRetention(Duration forgetAfter) {
            mForgetAfter = Arguments.requirePositiveDuration(forgetAfter, "forgetAfter");
            return this;
        }

        /** Sets the nodes that are asked to probe a target that did not answer. */
        public Builder indirectProbes(int indirectProbes) {
            mIndirectProbes = Arguments.requirePositive(indirectProbes, "indirectProbes");
            return this;
        }

        /** Sets the largest number of statements in a message. */
        public Builder maximumUpdatesPerMessage(int updatesPerMessage) {
            mUpdatesPerMessage = Arguments.requirePositive(updatesPerMessage, "updatesPerMessage");
            return this;
        }

        /** Sets the times that a new statement is sent, for each power of two of nodes. */
        public Builder spreadFactor(int spreadFactor) {
            mSpreadFactor = Arguments.requirePositive(spreadFactor, "spreadFactor");
            return this;
        }

        /** Sets the probes after which one goes to another data centre. */
        public Builder farProbeEvery(int farProbeEvery) {
            mFarProbeEvery = Arguments.requirePositive(farProbeEvery, "farProbeEvery");
            return this;
        }

        /** Sets the probes after which one goes to a listed node that seems dead. */
        public Builder deadProbeEvery(int deadProbeEvery) {
            mDeadProbeEvery = Arguments.requirePositive(deadProbeEvery, "deadProbeEvery");
            return this;
        }

        /** Sets the largest number of nodes that are remembered. */
        public Builder maximumMembers(int maximumMembers) {
            mMaximumMembers = Arguments.requirePositive(maximumMembers, "maximumMembers");
            return this;
        }

        /** Returns the settings. */
        public MembershipSettings build() {
            return new MembershipSettings(this);
        }
    }
}
