package org.foxtailridge.configuration.follow;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.configuration.ConfigurationMessage;

/**
 * Follows the configuration on one node, from the log and from peers.
 *
 * <p>The offset of the state only grows. Not safe for use by several threads: the node calls it on
 * one duty thread, and calls {@link #tick} several times a second.
 *
 * <pre>{@code
 * ConfigurationFollower follower =
 *         ConfigurationFollower.create(FollowerSettings.defaults(), clock, random, outbox);
 * follower.onPeers(new Peers(near, far, readsLog)); // whenever membership changes
 * follower.tick(); // several times a second
 * follower.onLogAnswer(request, answer); // what outbox.read(...) led to
 * follower.onMessage(from, message); // subject CONFIGURATION
 * follower.state().configuration();
 * follower.status().ready();
 * }</pre>
 */
public final class ConfigurationFollower {
    private static final Duration CONFIRMED_WITHIN = Duration.ofSeconds(30);

    private final Clock mClock;
    private final FollowedState mState;
    private final LogReader mReader;
    private final PeerRelay mRelay;
    private boolean mReadsLog = true;
    private boolean mReady;

    ConfigurationFollower(
            FollowerSettings settings,
            Clock clock,
            UniformRandomProvider random,
            FollowerOutbox outbox,
            FollowedState state) {
        mClock = clock;
        mState = state;
        mReader = new LogReader(settings, outbox, mState);
        mRelay = new PeerRelay(settings, outbox, mState, random);
    }

    /**
     * Returns a follower without a state.
     *
     * @param settings settings
     * @param clock clock of the runtime
     * @param random source for the choice of peers
     * @param outbox what the follower asks the node to do
     */
    public static ConfigurationFollower create(
            FollowerSettings settings,
            Clock clock,
            UniformRandomProvider random,
            FollowerOutbox outbox) {
        return new ConfigurationFollower(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(clock, "clock"),
                Objects.requireNonNull(random, "random"),
                Objects.requireNonNull(outbox, "outbox"),
                new FollowedState(settings, outbox));
    }

    /** Returns the state in force on this node. */
    public ConfigurationState state() {
        return mState.current();
    }

    /** Returns how well this node follows. */
    public FollowerStatus status() {
        Instant now = mClock.instant();
        Optional<Duration> staleness = mState.staleness(now);
        return new FollowerStatus(phase(), mState.offset(), staleness, mReady, reason());
    }

    /** Takes note of the other nodes. */
    public void onPeers(Peers peers) {
        mReadsLog = peers.readsLog();
        mRelay.setPeers(peers);
    }

    /** Lets time pass. */
    public void tick() {
        Instant now = mClock.instant();
        step(
                () -> {
                    mReader.tick(now, mReadsLog);
                    mRelay.tick(now);
                });
    }

    /**
     * Takes the log's answer to a read.
     *
     * @param request number of the read
     * @param answer what the log answered
     */
    public void onLogAnswer(long request, LogAnswer answer) {
        step(() -> mReader.onAnswer(request, answer, mClock.instant()));
    }

    /**
     * Takes note that a read failed.
     *
     * @param request number of the read
     */
    public void onLogFailure(long request) {
        step(() -> mReader.onFailure(request, mClock.instant()));
    }

    /**
     * Takes a message of another node.
     *
     * @param from the node
     * @param message its message; one without a known body is ignored
     */
    public void onMessage(NodeName from, ConfigurationMessage message) {
        step(() -> dispatch(from, message, mClock.instant()));
    }

    private void dispatch(NodeName from, ConfigurationMessage message, Instant now) {
        switch (message.getBodyCase()) {
            case ADVERTISE -> mRelay.onAdvertise(from, message.getAdvertise(), now);
            case FETCH_RECORDS -> mRelay.onFetchRecords(from, message.getFetchRecords(), now);
            case RELAYED_RECORDS -> mRelay.onRecords(from, message.getRelayedRecords(), now);
            case FETCH_STATE -> mRelay.onFetchState(from, message.getFetchState());
            case STATE_PART -> mRelay.onStatePart(from, message.getStatePart(), now);
            default -> {}
        }
    }

    private void step(Runnable event) {
        long before = mState.offset();
        event.run();
        if (mState.offset() > before) {
            mRelay.advertise();
        }
        mReady = mReady || canServe();
    }

    private boolean canServe() {
        boolean current = !mState.isStale(mClock.instant(), CONFIRMED_WITHIN);
        return current || (mState.offset() >= 0 && mRelay.heardEnough());
    }

    private FollowerPhase phase() {
        if (mState.stopped()) {
            return FollowerPhase.STOPPED;
        }
        if (!mReady) {
            return FollowerPhase.STARTING;
        }
        return mState.problem();
    }

    private String reason() {
        return switch (phase()) {
            case STARTING -> "neither the log nor enough other nodes have answered";
            case FOLLOWING -> "";
            case GAP -> "the log holds neither the record after the offset nor a snapshot";
            case LOG_BEHIND -> "the log's next offset is below the offset in force";
            case STOPPED -> mState.stopReason().orElse("");
        };
    }
}
