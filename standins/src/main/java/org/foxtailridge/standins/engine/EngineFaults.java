package org.foxtailridge.standins.engine;

/**
 * Fault switches of the engine stand-in; the default of each is off. Switches on answers apply to
 * requests that arrive while they are set; a stream that is continued is not affected again.
 *
 * @param crashMarker text in a prompt that makes the engine crash once a token of the answer would
 *     be due: it closes all connections, forgets everything and refuses connections for {@code
 *     crashDownMs}; null for none
 * @param crashDownMs milliseconds for which a crashed engine is down
 * @param stallAfterTokens tokens after which an answer stops growing; null for none
 * @param cutAfterTokens tokens after which a stream's connection is closed; null for none
 * @param halfFrameAfterTokens tokens after which half a frame is sent and the connection closed;
 *     null for none
 * @param otherAttempt answers with the ids and text of another attempt
 * @param answerLateMs delays the beginning of every answer by this many milliseconds
 * @param affectedRequests number of requests that the switches on answers apply to; null for all
 * @param dropOrders number of orders from now on that are lost: the connection is closed
 * @param loseOrderAnswers number of orders from now on that are executed while the connection is
 *     closed without an answer
 * @param delayOrdersMs delays the execution of every order by this many milliseconds
 * @param refuseMs closes all connections and refuses new ones for this many milliseconds
 * @param holdMs leaves every request without an answer for this many milliseconds
 */
public record EngineFaults(
        String crashMarker,
        long crashDownMs,
        Integer stallAfterTokens,
        Integer cutAfterTokens,
        Integer halfFrameAfterTokens,
        boolean otherAttempt,
        long answerLateMs,
        Integer affectedRequests,
        int dropOrders,
        int loseOrderAnswers,
        long delayOrdersMs,
        long refuseMs,
        long holdMs) {
    private static final EngineFaults NONE = builder().build();

    /** Returns the switches with all faults off. */
    public static EngineFaults none() {
        return NONE;
    }

    /** Returns a builder with all faults off. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link EngineFaults}. */
    public static final class Builder {
        private String mCrashMarker;
        private long mCrashDownMs;
        private Integer mStallAfterTokens;
        private Integer mCutAfterTokens;
        private Integer mHalfFrameAfterTokens;
        private boolean mOtherAttempt;
        private long mAnswerLateMs;
        private Integer mAffectedRequests;
        private int mDropOrders;
        private int mLoseOrderAnswers;
        private long mDelayOrdersMs;
        private long mRefuseMs;
        private long mHoldMs;

        private Builder() {}

        /** Crashes on prompts that hold the marker, and stays down for a time. */
        public Builder crashOn(String marker, long downMilliseconds) {
            mCrashMarker = marker;
            mCrashDownMs = downMilliseconds;
            return this;
        }

        /** Stops each answer after a number of tokens. */
        public Builder stallAfterTokens(int tokens) {
            mStallAfterTokens = tokens;
            return this;
        }

        /** Closes the connection of each stream after a number of tokens. */
        public Builder cutAfterTokens(int tokens) {
            mCutAfterTokens = tokens;
            return this;
        }

        /** Sends half a frame after a number of tokens and closes the connection. */
        public Builder halfFrameAfterTokens(int tokens) {
            mHalfFrameAfterTokens = tokens;
            return this;
        }

        /** Answers with the ids and text of another attempt. */
        public Builder otherAttempt() {
            mOtherAttempt = true;
            return this;
        }

        /** Delays the beginning of every answer. */
        public Builder answerLateMilliseconds(long milliseconds) {
            mAnswerLateMs = milliseconds;
            return this;
        }

        /** Limits the switches on answers to the next requests. */
        public Builder affectedRequests(int requests) {
            mAffectedRequests = requests;
            return this;
        }

        /** Loses the next orders. */
        public Builder dropOrders(int orders) {
            mDropOrders = orders;
            return this;
        }

        /** Executes the next orders but loses their answers. */
        public Builder loseOrderAnswers(int orders) {
            mLoseOrderAnswers = orders;
            return this;
        }

        /** Delays the execution of every order. */
        public Builder delayOrdersMilliseconds(long milliseconds) {
            mDelayOrdersMs = milliseconds;
            return this;
        }

        /** Refuses connections for a time. */
        public Builder refuseMilliseconds(long milliseconds) {
            mRefuseMs = milliseconds;
            return this;
        }

        /** Leaves requests without an answer for a time. */
        public Builder holdMilliseconds(long milliseconds) {
            mHoldMs = milliseconds;
            return this;
        }

        /** Returns the switches. */
        public EngineFaults build() {
            return new EngineFaults(
                    mCrashMarker,
                    mCrashDownMs,
                    mStallAfterTokens,
                    mCutAfterTokens,
                    mHalfFrameAfterTokens,
                    mOtherAttempt,
                    mAnswerLateMs,
                    mAffectedRequests,
                    mDropOrders,
                    mLoseOrderAnswers,
                    mDelayOrdersMs,
                    mRefuseMs,
                    mHoldMs);
        }
    }
}
