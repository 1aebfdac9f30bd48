package org.foxtailridge.configuration.follow;

import java.time.Duration;
import org.foxtailridge.core.check.Arguments;

/**
 * Settings of a follower. Immutable.
 *
 * <pre>{@code
 * FollowerSettings settings = FollowerSettings.builder().fanOut(3).build();
 * }</pre>
 */
public final class FollowerSettings {
    private final Duration mPollPeriod;
    private final Duration mRequestTimeout;
    private final Duration mReadWait;
    private final Duration mReadTimeout;
    private final Duration mReadRetry;
    private final Duration mFallbackAfter;
    private final Duration mFallbackPeriod;
    private final Duration mFarAfter;
    private final int mReadLimit;
    private final int mFanOut;
    private final int mWindowRecords;
    private final int mWindowBytes;
    private final int mAnswerBytes;
    private final int mPartBytes;
    private final int mStateParts;
    private final int mPeersHeard;

    private FollowerSettings(Builder builder) {
        mPollPeriod = builder.mPollPeriod;
        mRequestTimeout = builder.mRequestTimeout;
        mReadWait = builder.mReadWait;
        mReadTimeout = builder.mReadTimeout;
        mReadRetry = builder.mReadRetry;
        mFallbackAfter = builder.mFallbackAfter;
        mFallbackPeriod = builder.mFallbackPeriod;
        mFarAfter = builder.mFarAfter;
        mReadLimit = builder.mReadLimit;
        mFanOut = builder.mFanOut;
        mWindowRecords = builder.mWindowRecords;
        mWindowBytes = builder.mWindowBytes;
        mAnswerBytes = builder.mAnswerBytes;
        mPartBytes = builder.mPartBytes;
        mStateParts = builder.mStateParts;
        mPeersHeard = builder.mPeersHeard;
    }

    /** Returns the default settings. */
    public static FollowerSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    Duration pollPeriod() {
        return mPollPeriod;
    }

    Duration requestTimeout() {
        return mRequestTimeout;
    }

    Duration readWait() {
        return mReadWait;
    }

    Duration readTimeout() {
        return mReadTimeout;
    }

    Duration readRetry() {
        return mReadRetry;
    }

    Duration fallbackAfter() {
        return mFallbackAfter;
    }

    Duration fallbackPeriod() {
        return mFallbackPeriod;
    }

    Duration farAfter() {
        return mFarAfter;
    }

    int readLimit() {
        return mReadLimit;
    }

    int fanOut() {
        return mFanOut;
    }

    int windowRecords() {
        return mWindowRecords;
    }

    int windowBytes() {
        return mWindowBytes;
    }

    int answerBytes() {
        return mAnswerBytes;
    }

    int partBytes() {
        return mPartBytes;
    }

    int stateParts() {
        return mStateParts;
    }

    int peersHeard() {
        return mPeersHeard;
    }

    /** Builds {@link FollowerSettings}. */
    public static final class Builder {
        private Duration mPollPeriod = Duration.ofSeconds(1);
        private Duration mRequestTimeout = Duration.ofSeconds(1);
        // An answer tells of the instant at which its read was sent, so that a reader's knowledge
        // is
        // up to two waits old. Plans may set a staleness from 8 s upwards.
        private Duration mReadWait = Duration.ofSeconds(2);
        private Duration mReadTimeout = Duration.ofSeconds(5);
        private Duration mReadRetry = Duration.ofSeconds(1);
        private Duration mFallbackAfter = Duration.ofSeconds(6);
        private Duration mFallbackPeriod = Duration.ofSeconds(10);
        private Duration mFarAfter = Duration.ofSeconds(4);
        private int mReadLimit = 256;
        private int mFanOut = 3;
        private int mWindowRecords = 1_024;
        private int mWindowBytes = 4 * 1_024 * 1_024;
        private int mAnswerBytes = 64 * 1_024;
        private int mPartBytes = 32 * 1_024;
        private int mStateParts = 1_024;
        private int mPeersHeard = 3;

        private Builder() {}

        /** Sets the time between two requests to peers. */
        public Builder pollPeriod(Duration pollPeriod) {
            mPollPeriod = Arguments.requirePositiveDuration(pollPeriod, "pollPeriod");
            return this;
        }

        /** Sets the time after which a peer's answer is given up. */
        public Builder requestTimeout(Duration requestTimeout) {
            mRequestTimeout = Arguments.requirePositiveDuration(requestTimeout, "requestTimeout");
            return this;
        }

        /** Sets the time that the log may wait for a record. */
        public Builder readWait(Duration readWait) {
            mReadWait = Arguments.requirePositiveDuration(readWait, "readWait");
            return this;
        }

        /** Sets the time after which the log's answer is given up. */
        public Builder readTimeout(Duration readTimeout) {
            mReadTimeout = Arguments.requirePositiveDuration(readTimeout, "readTimeout");
            return this;
        }

        /** Sets the time after a failed read before the next one. */
        public Builder readRetry(Duration readRetry) {
            mReadRetry = Arguments.requirePositiveDuration(readRetry, "readRetry");
            return this;
        }

        /**
         * Sets the staleness from which a node that does not read for its data centre reads the log
         * itself.
         */
        public Builder fallbackAfter(Duration fallbackAfter) {
            mFallbackAfter = Arguments.requirePositiveDuration(fallbackAfter, "fallbackAfter");
            return this;
        }

        /** Sets the time before the next such read when the log does not answer. */
        public Builder fallbackPeriod(Duration fallbackPeriod) {
            mFallbackPeriod = Arguments.requirePositiveDuration(fallbackPeriod, "fallbackPeriod");
            return this;
        }

        /** Sets the staleness from which every other request goes to another data centre. */
        public Builder farAfter(Duration farAfter) {
            mFarAfter = Arguments.requirePositiveDuration(farAfter, "farAfter");
            return this;
        }

        /** Sets the largest number of records of one read. */
        public Builder readLimit(int readLimit) {
            mReadLimit = Arguments.requirePositive(readLimit, "readLimit");
            return this;
        }

        /** Sets the peers that are told of new records. */
        public Builder fanOut(int fanOut) {
            mFanOut = Arguments.requirePositive(fanOut, "fanOut");
            return this;
        }

        /** Sets the latest records kept for peers. */
        public Builder windowRecords(int windowRecords) {
            mWindowRecords = Arguments.requirePositive(windowRecords, "windowRecords");
            return this;
        }

        /** Sets the bytes of latest records kept for peers. */
        public Builder windowBytes(int windowBytes) {
            mWindowBytes = Arguments.requirePositive(windowBytes, "windowBytes");
            return this;
        }

        /** Sets the bytes of records in one answer to a peer; a single larger record goes alone. */
        public Builder answerBytes(int answerBytes) {
            mAnswerBytes = Arguments.requirePositive(answerBytes, "answerBytes");
            return this;
        }

        /** Sets the bytes of one part of a state. */
        public Builder partBytes(int partBytes) {
            mPartBytes = Arguments.requirePositive(partBytes, "partBytes");
            return this;
        }

        /** Sets the largest number of parts of a state that is taken from a peer. */
        public Builder stateParts(int stateParts) {
            mStateParts = Arguments.requirePositive(stateParts, "stateParts");
            return this;
        }

        /**
         * Sets the peers that a new node must hear before it serves while the log does not answer.
         */
        public Builder peersHeard(int peersHeard) {
            mPeersHeard = Arguments.requirePositive(peersHeard, "peersHeard");
            return this;
        }

        /** Returns the settings. */
        public FollowerSettings build() {
            return new FollowerSettings(this);
        }
    }
}
