package org.foxtailridge.membership.probe;

import java.time.Duration;
import org.foxtailridge.core.check.Arguments;

/**
 * Settings of a {@link Membership}. Immutable.
 *
 * <pre>{@code
 * MembershipSettings settings = MembershipSettings.builder().indirectProbes(3).build();
 * }</pre>
 */
public final class MembershipSettings {
    private final Duration mProbePeriod;
    private final Duration mAcknowledgementTimeout;
    private final Duration mBaseSuspicionTimeout;
    private final Duration mDeadMemberRetention;
    private final int mIndirectProbes;
    private final int mMaximumUpdatesPerMessage;
    private final int mDisseminationFactor;
    private final int mProbesPerRemoteProbe;
    private final int mProbesPerDeadProbe;
    private final int mMaximumMembers;

    private MembershipSettings(Builder builder) {
        mProbePeriod = builder.mProbePeriod;
        mAcknowledgementTimeout = builder.mAcknowledgementTimeout;
        mBaseSuspicionTimeout = builder.mBaseSuspicionTimeout;
        mDeadMemberRetention = builder.mDeadMemberRetention;
        mIndirectProbes = builder.mIndirectProbes;
        mMaximumUpdatesPerMessage = builder.mMaximumUpdatesPerMessage;
        mDisseminationFactor = builder.mDisseminationFactor;
        mProbesPerRemoteProbe = builder.mProbesPerRemoteProbe;
        mProbesPerDeadProbe = builder.mProbesPerDeadProbe;
        mMaximumMembers = builder.mMaximumMembers;
    }

    /** Returns the settings that a new builder has. */
    public static MembershipSettings defaults() {
        return builder().build();
    }

    /** Returns a builder with a probe period of 1 s and defaults for the other settings. */
    public static Builder builder() {
        return new Builder();
    }

    Duration probePeriod() {
        return mProbePeriod;
    }

    Duration acknowledgementTimeout() {
        return mAcknowledgementTimeout;
    }

    Duration baseSuspicionTimeout() {
        return mBaseSuspicionTimeout;
    }

    Duration deadMemberRetention() {
        return mDeadMemberRetention;
    }

    int indirectProbes() {
        return mIndirectProbes;
    }

    int maximumUpdatesPerMessage() {
        return mMaximumUpdatesPerMessage;
    }

    int disseminationFactor() {
        return mDisseminationFactor;
    }

    int probesPerRemoteProbe() {
        return mProbesPerRemoteProbe;
    }

    int probesPerDeadProbe() {
        return mProbesPerDeadProbe;
    }

    int maximumMembers() {
        return mMaximumMembers;
    }

    /** Builds {@link MembershipSettings}. */
    public static final class Builder {
        private Duration mProbePeriod = Duration.ofSeconds(1);
        private Duration mAcknowledgementTimeout = Duration.ofMillis(300);
        private Duration mBaseSuspicionTimeout = Duration.ofSeconds(3);
        private Duration mDeadMemberRetention = Duration.ofMinutes(2);
        private int mIndirectProbes = 3;
        private int mMaximumUpdatesPerMessage = 12;
        private int mDisseminationFactor = 3;
        private int mProbesPerRemoteProbe = 3;
        private int mProbesPerDeadProbe = 5;
        private int mMaximumMembers = 4_096;

        private Builder() {}

        /** Sets the time between two probes; 1 s by default. */
        public Builder probePeriod(Duration probePeriod) {
            mProbePeriod = Arguments.requirePositiveDuration(probePeriod, "probePeriod");
            return this;
        }

        /**
         * Sets the time after which other nodes are asked to probe a target that has not
         * acknowledged; 300 ms by default.
         */
        public Builder acknowledgementTimeout(Duration acknowledgementTimeout) {
            mAcknowledgementTimeout =
                    Arguments.requirePositiveDuration(
                            acknowledgementTimeout, "acknowledgementTimeout");
            return this;
        }

        /**
         * Sets the time that a suspected node has to refute the suspicion, for each decimal digit
         * of the number of nodes in the data centre; 3 s by default.
         */
        public Builder baseSuspicionTimeout(Duration baseSuspicionTimeout) {
            mBaseSuspicionTimeout =
                    Arguments.requirePositiveDuration(baseSuspicionTimeout, "baseSuspicionTimeout");
            return this;
        }

        /**
         * Sets the time after which a dead node that is not listed is removed; 2 min by default.
         */
        public Builder deadMemberRetention(Duration deadMemberRetention) {
            mDeadMemberRetention =
                    Arguments.requirePositiveDuration(deadMemberRetention, "deadMemberRetention");
            return this;
        }

        /**
         * Sets the maximum number of nodes that are asked to probe a target that has not
         * acknowledged; 3 by default.
         */
        public Builder indirectProbes(int indirectProbes) {
            mIndirectProbes = Arguments.requirePositive(indirectProbes, "indirectProbes");
            return this;
        }

        /** Sets the maximum number of updates in a message; 12 by default. */
        public Builder maximumUpdatesPerMessage(int maximumUpdatesPerMessage) {
            mMaximumUpdatesPerMessage =
                    Arguments.requirePositive(maximumUpdatesPerMessage, "maximumUpdatesPerMessage");
            return this;
        }

        /**
         * Sets the number of times that a node sends a new update, for each binary digit of the
         * number of nodes; 3 by default.
         */
        public Builder disseminationFactor(int disseminationFactor) {
            mDisseminationFactor =
                    Arguments.requirePositive(disseminationFactor, "disseminationFactor");
            return this;
        }

        /** Sets the number of probes of which one goes to another data centre; 3 by default. */
        public Builder probesPerRemoteProbe(int probesPerRemoteProbe) {
            mProbesPerRemoteProbe =
                    Arguments.requirePositive(probesPerRemoteProbe, "probesPerRemoteProbe");
            return this;
        }

        /**
         * Sets the number of probes of which one goes to a listed node that is marked as dead, if
         * there is one, so that it can refute this state if it is running; 5 by default.
         */
        public Builder probesPerDeadProbe(int probesPerDeadProbe) {
            mProbesPerDeadProbe =
                    Arguments.requirePositive(probesPerDeadProbe, "probesPerDeadProbe");
            return this;
        }

        /** Sets the maximum number of nodes in the table; 4096 by default. */
        public Builder maximumMembers(int maximumMembers) {
            mMaximumMembers = Arguments.requirePositive(maximumMembers, "maximumMembers");
            return this;
        }

        /** Returns settings with the values of this builder. */
        public MembershipSettings build() {
            return new MembershipSettings(this);
        }
    }
}
