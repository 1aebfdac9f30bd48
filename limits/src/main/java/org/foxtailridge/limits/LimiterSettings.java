package org.foxtailridge.limits;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.core.name.NodeName;

/**
 * Settings of the limiter of one node.
 *
 * <pre>{@code
 * LimiterSettings settings =
 *         LimiterSettings.builder(NodeName.of("node-1"), incarnation).maximumNodes(9).build();
 * }</pre>
 *
 * @param node name of this node
 * @param incarnation incarnation of this process
 * @param maximumNodes maximum number of processes older than the floor delay that run at once, over
 *     all data centres; more would exceed the limit
 * @param floorPercent part of every rate and burst, in percent, that is split equally into the
 *     floors of all nodes; no other node uses it unless the floor's node lends it
 * @param floorDelayMilliseconds age from which a process uses its floor; at least the time for
 *     which a replaced process may still run after the start of its replacement
 * @param grantLifetimeMilliseconds time from a request for tokens until the granted tokens expire
 * @param maximumWaitMilliseconds maximum time that a reservation waits for tokens
 * @param answerTimeoutMilliseconds time after which a request without an answer is sent again, with
 *     a new number
 * @param clockDriftPartsPerMillion maximum drift between any two clocks
 * @param maximumOpenReservations maximum number of reservations that are granted and not settled
 * @param maximumWaiting maximum number of waiting reservations of one client account
 * @param maximumHolders maximum number of nodes that one home node grants tokens to, per account
 * @param messageLifetimeMilliseconds time after which no copy of a sent message can arrive
 * @param prefetchMilliseconds time for which a node requests tokens ahead of demand; 0 asks the
 *     home node for each reservation, so that no tokens expire unused on a node with few requests
 *     of an account
 * @param floorFirst whether a node uses its floor before it asks the home node; otherwise it uses
 *     the floor only when the home node has too few tokens or can't be reached
 * @param maximumWaitWithoutHomeMilliseconds maximum time that a reservation waits for this node's
 *     floor, or for a home node, while none can be reached; 0 refuses at once what the floor does
 *     not have
 * @param tolerance by how much the limit may be exceeded; empty for not at all. The bursts of all
 *     floors are taken from it, so that the home node can admit as large a request as without
 *     floors
 */
public record LimiterSettings(
        NodeName node,
        long incarnation,
        int maximumNodes,
        int floorPercent,
        long floorDelayMilliseconds,
        long grantLifetimeMilliseconds,
        long maximumWaitMilliseconds,
        long answerTimeoutMilliseconds,
        long clockDriftPartsPerMillion,
        int maximumOpenReservations,
        int maximumWaiting,
        int maximumHolders,
        long messageLifetimeMilliseconds,
        long prefetchMilliseconds,
        boolean floorFirst,
        long maximumWaitWithoutHomeMilliseconds,
        Optional<LimitTolerance> tolerance) {
    /** Rejects null and numbers out of range. */
    public LimiterSettings {
        Objects.requireNonNull(node, "node");
        requireInRange("maximumNodes", maximumNodes, 1, 10_000);
        requireInRange("floorPercent", floorPercent, 0, 90);
        requireInRange("floorDelayMilliseconds", floorDelayMilliseconds, 0, 86_400_000);
        requireInRange("grantLifetimeMilliseconds", grantLifetimeMilliseconds, 100, 60_000);
        requireInRange("maximumWaitMilliseconds", maximumWaitMilliseconds, 0, 60_000);
        requireInRange("answerTimeoutMilliseconds", answerTimeoutMilliseconds, 1, 60_000);
        requireInRange("clockDriftPartsPerMillion", clockDriftPartsPerMillion, 0, 100_000);
        requireInRange("maximumOpenReservations", maximumOpenReservations, 1, 10_000_000);
        requireInRange("maximumWaiting", maximumWaiting, 0, 1_000_000);
        requireInRange("maximumHolders", maximumHolders, 1, 100_000);
        requireInRange("messageLifetimeMilliseconds", messageLifetimeMilliseconds, 1, 86_400_000);
        requireInRange("prefetchMilliseconds", prefetchMilliseconds, 0, 60_000);
        requireInRange(
                "maximumWaitWithoutHomeMilliseconds",
                maximumWaitWithoutHomeMilliseconds,
                0,
                60_000);
        Objects.requireNonNull(tolerance, "tolerance");
    }

    /** Returns a builder with the defaults for a fleet of up to nine nodes. */
    public static Builder builder(NodeName node, long incarnation) {
        return new Builder(node, incarnation);
    }

    private static void requireInRange(String name, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            throw new IllegalArgumentException(
                    name + " must be " + minimum + " to " + maximum + " but was " + value);
        }
    }

    /** Returns the maximum time that a reservation waits, with or without a home node. */
    public Duration maximumWait() {
        return Duration.ofMillis(
                Math.max(maximumWaitMilliseconds, maximumWaitWithoutHomeMilliseconds));
    }

    /** Builder of {@link LimiterSettings}; the record describes each setting. */
    public static final class Builder {
        private final NodeName mNode;
        private final long mIncarnation;
        private int mMaximumNodes = 9;
        private int mFloorPercent = 10;
        private long mFloorDelayMilliseconds = 60_000;
        private long mGrantLifetimeMilliseconds = 2_000;
        private long mMaximumWaitMilliseconds = 400;
        private long mAnswerTimeoutMilliseconds = 100;
        private long mClockDriftPartsPerMillion = 500;
        private int mMaximumOpenReservations = 20_000;
        private int mMaximumWaiting = 1_000;
        private int mMaximumHolders = 4_096;
        private long mMessageLifetimeMilliseconds = 600_000;
        private long mPrefetchMilliseconds = 1_200;
        private boolean mFloorFirst;
        private long mMaximumWaitWithoutHomeMilliseconds;
        private Optional<LimitTolerance> mTolerance = Optional.empty();

        private Builder(NodeName node, long incarnation) {
            mNode = node;
            mIncarnation = incarnation;
        }

        public Builder maximumNodes(int nodes) {
            mMaximumNodes = nodes;
            return this;
        }

        public Builder floorPercent(int percent) {
            mFloorPercent = percent;
            return this;
        }

        public Builder floorDelayMilliseconds(long milliseconds) {
            mFloorDelayMilliseconds = milliseconds;
            return this;
        }

        public Builder grantLifetimeMilliseconds(long milliseconds) {
            mGrantLifetimeMilliseconds = milliseconds;
            return this;
        }

        public Builder maximumWaitMilliseconds(long milliseconds) {
            mMaximumWaitMilliseconds = milliseconds;
            return this;
        }

        public Builder answerTimeoutMilliseconds(long milliseconds) {
            mAnswerTimeoutMilliseconds = milliseconds;
            return this;
        }

        public Builder clockDriftPartsPerMillion(long partsPerMillion) {
            mClockDriftPartsPerMillion = partsPerMillion;
            return this;
        }

        public Builder maximumOpenReservations(int reservations) {
            mMaximumOpenReservations = reservations;
            return this;
        }

        public Builder maximumWaiting(int reservations) {
            mMaximumWaiting = reservations;
            return this;
        }

        public Builder maximumHolders(int holders) {
            mMaximumHolders = holders;
            return this;
        }

        public Builder messageLifetimeMilliseconds(long milliseconds) {
            mMessageLifetimeMilliseconds = milliseconds;
            return this;
        }

        public Builder prefetchMilliseconds(long milliseconds) {
            mPrefetchMilliseconds = milliseconds;
            return this;
        }

        public Builder floorFirst(boolean first) {
            mFloorFirst = first;
            return this;
        }

        public Builder maximumWaitWithoutHomeMilliseconds(long milliseconds) {
            mMaximumWaitWithoutHomeMilliseconds = milliseconds;
            return this;
        }

        /** Sets by how much the limit may be exceeded; by default not at all. */
        public Builder tolerance(LimitTolerance tolerance) {
            mTolerance = Optional.of(tolerance);
            return this;
        }

        /**
         * Returns the settings.
         *
         * @throws IllegalArgumentException if a number is out of range
         */
        public LimiterSettings build() {
            return new LimiterSettings(
                    mNode,
                    mIncarnation,
                    mMaximumNodes,
                    mFloorPercent,
                    mFloorDelayMilliseconds,
                    mGrantLifetimeMilliseconds,
                    mMaximumWaitMilliseconds,
                    mAnswerTimeoutMilliseconds,
                    mClockDriftPartsPerMillion,
                    mMaximumOpenReservations,
                    mMaximumWaiting,
                    mMaximumHolders,
                    mMessageLifetimeMilliseconds,
                    mPrefetchMilliseconds,
                    mFloorFirst,
                    mMaximumWaitWithoutHomeMilliseconds,
                    mTolerance);
        }
    }
}
