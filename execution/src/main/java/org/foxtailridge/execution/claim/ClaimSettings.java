package org.foxtailridge.execution.claim;

import java.util.Objects;
import org.foxtailridge.core.name.NodeName;

/**
 * Settings of the claims of one node.
 *
 * <pre>{@code
 * ClaimSettings settings = ClaimSettings.builder(NodeName.of("node-1"), incarnation).build();
 * }</pre>
 *
 * @param node name of this node
 * @param incarnation incarnation of this process
 * @param validityMilliseconds time from the arrival of a call until its claim may no longer lead to
 *     a dispatch
 * @param appendIntervalMilliseconds least time between two appends of this node
 * @param maximumAppendRecords most records in one append
 * @param maximumAppendBytes most bytes of payload in one append
 * @param waitMilliseconds most time that a repeated call waits for the first one
 * @param settleMilliseconds time after which a claim without an outcome counts as unknown
 * @param windowMilliseconds time for which keys are kept; at most the retention of the log
 * @param maximumKeys most keys kept
 * @param maximumCalls most calls of this node that are claimed or wait
 * @param maximumAnswerBytes largest answer, body and headers, that is kept for repetition
 * @param maximumKeptBytes most bytes of all answers that are kept; the oldest give way
 */
public record ClaimSettings(
        NodeName node,
        long incarnation,
        long validityMilliseconds,
        long appendIntervalMilliseconds,
        int maximumAppendRecords,
        int maximumAppendBytes,
        long waitMilliseconds,
        long settleMilliseconds,
        long windowMilliseconds,
        int maximumKeys,
        int maximumCalls,
        int maximumAnswerBytes,
        long maximumKeptBytes) {
    /** Checks the ranges. */
    public ClaimSettings {
        Objects.requireNonNull(node, "node");
        requireAtLeast("validityMilliseconds", validityMilliseconds, 1);
        requireAtLeast("appendIntervalMilliseconds", appendIntervalMilliseconds, 0);
        requireAtLeast("maximumAppendRecords", maximumAppendRecords, 1);
        requireAtLeast("maximumAppendBytes", maximumAppendBytes, 2L * maximumAnswerBytes);
        requireAtLeast("waitMilliseconds", waitMilliseconds, 0);
        requireAtLeast("settleMilliseconds", settleMilliseconds, validityMilliseconds);
        requireAtLeast("windowMilliseconds", windowMilliseconds, settleMilliseconds);
        requireAtLeast("maximumKeys", maximumKeys, 10);
        requireAtLeast("maximumCalls", maximumCalls, 1);
        requireAtLeast("maximumAnswerBytes", maximumAnswerBytes, 0);
        requireAtLeast("maximumKeptBytes", maximumKeptBytes, maximumAnswerBytes);
    }

    /** Returns a builder with defaults. */
    public static Builder builder(NodeName node, long incarnation) {
        return new Builder(node, incarnation);
    }

    private static void requireAtLeast(String name, long value, long least) {
        if (value < least) {
            throw new IllegalArgumentException(
                    name + " must be at least " + least + " but was " + value);
        }
    }

    /** Builds {@link ClaimSettings}. */
    public static final class Builder {
        private final NodeName mNode;
        private final long mIncarnation;
        private long mValidityMilliseconds = 2_000;
        private long mAppendIntervalMilliseconds = 50;
        private int mMaximumAppendRecords = 500;
        private int mMaximumAppendBytes = 512 * 1024;
        private long mWaitMilliseconds = 10_000;
        private long mSettleMilliseconds = 120_000;
        private long mWindowMilliseconds = 3_600_000;
        private int mMaximumKeys = 50_000;
        private int mMaximumCalls = 5_000;
        private int mMaximumAnswerBytes = 16 * 1024;
        private long mMaximumKeptBytes = 16 * 1024 * 1024;

        private Builder(NodeName node, long incarnation) {
            mNode = node;
            mIncarnation = incarnation;
        }

        /** Sets the time for which a claim may lead to a dispatch, in milliseconds. */
        public Builder validityMilliseconds(long milliseconds) {
            mValidityMilliseconds = milliseconds;
            return this;
        }

        /** Sets the least time between two appends, in milliseconds. */
        public Builder appendIntervalMilliseconds(long milliseconds) {
            mAppendIntervalMilliseconds = milliseconds;
            return this;
        }

        /** Sets the most records in one append. */
        public Builder maximumAppendRecords(int records) {
            mMaximumAppendRecords = records;
            return this;
        }

        /** Sets the most bytes in one append. */
        public Builder maximumAppendBytes(int bytes) {
            mMaximumAppendBytes = bytes;
            return this;
        }

        /** Sets the most time that a repeated call waits, in milliseconds. */
        public Builder waitMilliseconds(long milliseconds) {
            mWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time after which a claim without outcome is unknown, in milliseconds. */
        public Builder settleMilliseconds(long milliseconds) {
            mSettleMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time for which keys are kept, in milliseconds. */
        public Builder windowMilliseconds(long milliseconds) {
            mWindowMilliseconds = milliseconds;
            return this;
        }

        /** Sets the most keys kept. */
        public Builder maximumKeys(int keys) {
            mMaximumKeys = keys;
            return this;
        }

        /** Sets the most calls that are claimed or wait. */
        public Builder maximumCalls(int calls) {
            mMaximumCalls = calls;
            return this;
        }

        /** Sets the most bytes of all answers that are kept. */
        public Builder maximumKeptBytes(long bytes) {
            mMaximumKeptBytes = bytes;
            return this;
        }

        /** Sets the largest answer that is kept, in bytes. */
        public Builder maximumAnswerBytes(int bytes) {
            mMaximumAnswerBytes = bytes;
            return this;
        }

        /** Returns the settings. */
        public ClaimSettings build() {
            return new ClaimSettings(
                    mNode,
                    mIncarnation,
                    mValidityMilliseconds,
                    mAppendIntervalMilliseconds,
                    mMaximumAppendRecords,
                    mMaximumAppendBytes,
                    mWaitMilliseconds,
                    mSettleMilliseconds,
                    mWindowMilliseconds,
                    mMaximumKeys,
                    mMaximumCalls,
                    mMaximumAnswerBytes,
                    mMaximumKeptBytes);
        }
    }
}
