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
 * @param maximumNodes most processes older than the floor delay that run at once, over all data
 *     centres; more would break the limit
 * @param floorPercent part of every rate and burst, in percent, that is split equally over the
 *     nodes and that no other node uses without its owner's consent
 * @param floorDelayMilliseconds age of a process from which it uses its floor; at least the time by
 *     which a replaced process may outlive the start of its replacement
 * @param grantMilliseconds time from a request for tokens until they lapse at the requester
 * @param longestWaitMilliseconds most time that a reservation waits for tokens
 * @param answerTimeoutMilliseconds time after which a request to the home node is sent anew
 * @param clockDriftPartsPerMillion most by which any two clocks drift apart
 * @param maximumOpenReservations most reservations that are granted and not settled
 * @param maximumWaiting most reservations of one client account that wait
 * @param maximumHolders most processes that one home node serves
 * @param messageLifetimeMilliseconds time after which no copy of a sent message can arrive
 * @param prefetchMilliseconds time for which a node holds tokens ahead of requests; 0 asks the home
 *     node for each request, which wastes nothing while a client account sends a node little
 * @param floorFirst whether a node uses its floor before it asks the home node; otherwise only when
 *     the home node has nothing or can't be reached
 * @param waitWithoutHomeMilliseconds most time that a reservation waits for this node's floor, or
 *     for a home node, while none can be reached; 0 refuses at once what the floor does not have
 * @param tolerance by how much the limit may be passed; empty for not at all. The bursts of all
 *     floors come out of it, so that the home node can admit as large a request as without floors
 */
public record LimiterSettings(
        NodeName node,
        long incarnation,
        int maximumNodes,
        int floorPercent,
        long floorDelayMilliseconds,
        long grantMilliseconds,
        long longestWaitMilliseconds,
        long answerTimeoutMilliseconds,
        long clockDriftPartsPerMillion,
        int maximumOpenReservations,
        int maximumWaiting,
        int maximumHolders,
        long messageLifetimeMilliseconds,
        long prefetchMilliseconds,
        boolean floorFirst,
        long waitWithoutHomeMilliseconds,
        Optional<LimitTolerance> tolerance) {
    /** Checks the ranges. */
    public LimiterSettings {
        Objects.requireNonNull(node, "node");
        requireInRange("maximumNodes", maximumNodes, 1, 10_000);
        requireInRange("floorPercent", floorPercent, 0, 90);
        requireInRange("floorDelayMilliseconds", floorDelayMilliseconds, 0, 86_400_000);
        requireInRange("grantMilliseconds", grantMilliseconds, 100, 60_000);
        requireInRange("longestWaitMilliseconds", longestWaitMilliseconds, 0, 60_000);
        requireInRange("answerTimeoutMilliseconds", answerTimeoutMilliseconds, 1, 60_000);
        requireInRange("clockDriftPartsPerMillion", clockDriftPartsPerMillion, 0, 100_000);
        requireInRange("maximumOpenReservations", maximumOpenReservations, 1, 10_000_000);
        requireInRange("maximumWaiting", maximumWaiting, 0, 1_000_000);
        requireInRange("maximumHolders", maximumHolders, 1, 100_000);
        requireInRange("messageLifetimeMilliseconds", messageLifetimeMilliseconds, 1, 86_400_000);
        requireInRange("prefetchMilliseconds", prefetchMilliseconds, 0, 60_000);
        requireInRange("waitWithoutHomeMilliseconds", waitWithoutHomeMilliseconds, 0, 60_000);
        Objects.requireNonNull(tolerance, "tolerance");
    }

    /** Returns a builder with the defaults for a fleet of up to nine nodes. */
    public static Builder builder(NodeName node, long incarnation) {
        return new Builder(node, incarnation);
    }

    private static void requireInRange(String name, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    name + " must be " + least + " to " + most + " but was " + value);
        }
    }

    /** Returns the most time that a reservation waits for tokens, with or without a home node. */
    public Duration longestWait() {
        return Duration.ofMillis(Math.max(longestWaitMilliseconds, waitWithoutHomeMilliseconds));
    }

    /** Builds {@link LimiterSettings}. */
    public static final class Builder {
        private final NodeName mNode;
        private final long mIncarnation;
        private int mMaximumNodes = 9;
        private int mFloorPercent = 10;
        private long mFloorDelayMilliseconds = 60_000;
        private long mGrantMilliseconds = 2_000;
        private long mLongestWaitMilliseconds = 400;
        private long mAnswerTimeoutMilliseconds = 100;
        private long mClockDriftPartsPerMillion = 500;
        private int mMaximumOpenReservations = 20_000;
        private int mMaximumWaiting = 1_000;
        private int mMaximumHolders = 4_096;
        private long mMessageLifetimeMilliseconds = 600_000;
        private long mPrefetchMilliseconds = 1_200;
        private boolean mFloorFirst;
        private long mWaitWithoutHomeMilliseconds;
        private Optional<LimitTolerance> mTolerance = Optional.empty();

        private Builder(NodeName node, long incarnation) {
            mNode = node;
            mIncarnation = incarnation;
        }

        /** Sets the most processes that run at once, over all data centres. */
        public Builder maximumNodes(int nodes) {
            mMaximumNodes = nodes;
            return this;
        }

        /** Sets the part that is split equally over the nodes, in percent. */
        public Builder floorPercent(int percent) {
            mFloorPercent = percent;
            return this;
        }

        /** Sets the age from which a process uses its floor, in milliseconds. */
        public Builder floorDelayMilliseconds(long milliseconds) {
            mFloorDelayMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time until granted tokens lapse, in milliseconds. */
        public Builder grantLifetimeMilliseconds(long milliseconds) {
            mGrantMilliseconds = milliseconds;
            return this;
        }

        /** Sets the most time that a reservation waits, in milliseconds. */
        public Builder maximumWaitMilliseconds(long milliseconds) {
            mLongestWaitMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time after which a request is sent anew, in milliseconds. */
        public Builder answerTimeoutMilliseconds(long milliseconds) {
            mAnswerTimeoutMilliseconds = milliseconds;
            return this;
        }

        /** Sets the most by which two clocks drift apart, in parts per million. */
        public Builder clockDriftPartsPerMillion(long partsPerMillion) {
            mClockDriftPartsPerMillion = partsPerMillion;
            return this;
        }

        /** Sets the most reservations that are granted and not settled. */
        public Builder maximumOpenReservations(int reservations) {
            mMaximumOpenReservations = reservations;
            return this;
        }

        /** Sets the most reservations of one client account that wait. */
        public Builder maximumWaiting(int reservations) {
            mMaximumWaiting = reservations;
            return this;
        }

        /** Sets the most processes that one home node serves. */
        public Builder maximumHolders(int holders) {
            mMaximumHolders = holders;
            return this;
        }

        /** Sets the time after which no copy of a message can arrive, in milliseconds. */
        public Builder messageLifetimeMilliseconds(long milliseconds) {
            mMessageLifetimeMilliseconds = milliseconds;
            return this;
        }

        /** Sets the time for which a node holds tokens ahead of requests, in milliseconds. */
        public Builder prefetchMilliseconds(long milliseconds) {
            mPrefetchMilliseconds = milliseconds;
            return this;
        }

        /** Sets whether a node uses its floor before it asks the home node. */
        public Builder floorFirst(boolean first) {
            mFloorFirst = first;
            return this;
        }

        /** Sets the most time that a reservation waits while no home node can be reached. */
        public Builder maximumWaitWithoutHomeMilliseconds(long milliseconds) {
            mWaitWithoutHomeMilliseconds = milliseconds;
            return this;
        }

        /** Sets by how much the limit may be passed. */
        public Builder tolerance(LimitTolerance tolerance) {
            mTolerance = Optional.of(tolerance);
            return this;
        }

        /** Returns the settings. */
        public LimiterSettings build() {
            return new LimiterSettings(
                    mNode,
                    mIncarnation,
                    mMaximumNodes,
                    mFloorPercent,
                    mFloorDelayMilliseconds,
                    mGrantMilliseconds,
                    mLongestWaitMilliseconds,
                    mAnswerTimeoutMilliseconds,
                    mClockDriftPartsPerMillion,
                    mMaximumOpenReservations,
                    mMaximumWaiting,
                    mMaximumHolders,
                    mMessageLifetimeMilliseconds,
                    mPrefetchMilliseconds,
                    mFloorFirst,
                    mWaitWithoutHomeMilliseconds,
                    mTolerance);
        }
    }
}
