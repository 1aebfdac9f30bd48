package org.foxtailridge.forwarding.relay;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.stream.KeyedBatch;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.forwarding.stream.StreamFollower;
import org.foxtailridge.protocol.relay.RelayMessage;
import org.foxtailridge.protocol.relay.RelayedStream;
import org.foxtailridge.protocol.relay.SnapshotPart;
import org.foxtailridge.protocol.relay.SnapshotWanted;
import org.foxtailridge.protocol.relay.StreamDelta;
import org.foxtailridge.protocol.relay.StreamPosition;
import org.foxtailridge.protocol.relay.StreamPositions;

/**
 * Gossip-based relay of keyed streams: serves snapshots of the followed streams to nodes that are
 * behind, and fetches snapshots from nodes that are ahead.
 *
 * <p>A node announces its offsets to some random peers when it has read records of the
 * configuration, and to a few periodically. A node that is behind waits a grace period for its own
 * read of the log, then fetches a snapshot in parts. Streams that change all the time are fetched
 * only when the log has not answered this node for some time. Confined to one thread.
 *
 * <pre>{@code
 * StreamRelay relay = new StreamRelay(settings, clock, random, outbox, List.of(follower));
 * relay.tick(); // several times a second
 * relay.announce(); // after records of the configuration were read
 * relay.receive(sender, message); // subject RELAY
 * }</pre>
 */
public final class StreamRelay {
    private static final Logger LOGGER = LogManager.getLogger(StreamRelay.class);
    // Further missing parts are requested after the retry interval.
    private static final int MAXIMUM_REQUESTED_PARTS = 32;

    private final RelaySettings mSettings;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final RelayOutbox mOutbox;
    private final List<RelayedState> mStates;
    private long mLastAnnouncementMilliseconds;

    /**
     * Creates a relay for the given followers.
     *
     * @throws IllegalArgumentException for a follower of {@link KeyedStream#NODES}, which is not
     *     relayed
     */
    public StreamRelay(
            RelaySettings settings,
            Clock clock,
            RandomGenerator random,
            RelayOutbox outbox,
            List<StreamFollower> followers) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mRandom = Objects.requireNonNull(random, "random");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mStates =
                followers.stream()
                        .map(follower -> new RelayedState(follower, settings.partBytes()))
                        .toList();
    }

    /** Announces the offsets of this node to random peers, in a small fleet to all of them. */
    public void announce() {
        announceTo(randomPeers(mSettings.changePeers()));
    }

    /** Announces the offsets of this node to the given nodes. */
    public void announceTo(Collection<NodeName> receivers) {
        Optional<RelayMessage> message = positionsMessage();
        message.ifPresent(positions -> receivers.forEach(node -> mOutbox.send(node, positions)));
    }

    /** Returns how far this node has read the relayed streams. */
    public List<StreamPosition> positions() {
        return mStates.stream()
                .filter(RelayedState::hasSnapshot)
                .map(RelayedState::position)
                .toList();
    }

    /**
     * Sends records that this node has read to nodes that it informs.
     *
     * @param stream stream of the records
     * @param fromOffset offset of the first record
     * @param batch records that follow
     * @param receivers nodes that do not read the log themselves
     */
    public void sendDelta(
            KeyedStream stream, long fromOffset, KeyedBatch batch, Collection<NodeName> receivers) {
        if (receivers.isEmpty()) {
            return;
        }
        RelayedState state = find(RelayedState.nameOf(stream)).orElseThrow();
        for (StreamDelta delta :
                StreamDeltas.split(state.position(), fromOffset, batch, mSettings.partBytes())) {
            RelayMessage message = RelayMessage.newBuilder().setDelta(delta).build();
            receivers.forEach(receiver -> mOutbox.send(receiver, message));
        }
    }

    /**
     * Handles the positions of the node that reads the log for this one: they confirm the state of
     * this node, or show that it has missed records, which are then fetched.
     */
    public void onReaderPositions(NodeName reader, List<StreamPosition> positions) {
        long now = mClock.millis();
        for (StreamPosition position : positions) {
            find(position.getStream())
                    .ifPresent(
                            state -> {
                                state.setRelayed(now);
                                confirm(state, position, now);
                            });
            onPosition(reader, position, now);
        }
    }

    /** Sends the announcements and requests for parts that are due; cancels stalled fetches. */
    public void tick() {
        long now = mClock.millis();
        if (now - mLastAnnouncementMilliseconds >= mSettings.announceInterval().toMillis()) {
            mLastAnnouncementMilliseconds = now;
            announceTo(randomPeers(mSettings.announcePeers()));
        }
        mStates.forEach(state -> advanceFetch(state, now));
    }

    /** Handles a message of another node. */
    public void receive(NodeName sender, RelayMessage message) {
        long now = mClock.millis();
        switch (message.getKindCase()) {
            case POSITIONS ->
                    message.getPositions()
                            .getPositionsList()
                            .forEach(position -> onPosition(sender, position, now));
            case WANTED -> onRequest(sender, message.getWanted());
            case PART -> onPart(sender, message.getPart(), now);
            case DELTA -> onDelta(sender, message.getDelta(), now);
            default -> LOGGER.debug("ignored a relay message of {} of unknown kind", sender);
        }
    }

    private List<NodeName> randomPeers(int maximum) {
        List<NodeName> peers = new ArrayList<>(mOutbox.peers());
        Collections.shuffle(peers, new java.util.Random(mRandom.nextLong()));
        return peers.subList(0, Math.min(peers.size(), maximum));
    }

    private Optional<RelayMessage> positionsMessage() {
        List<StreamPosition> positions = positions();
        if (positions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                RelayMessage.newBuilder()
                        .setPositions(StreamPositions.newBuilder().addAllPositions(positions))
                        .build());
    }

    private void onDelta(NodeName sender, StreamDelta delta, long now) {
        Optional<RelayedState> found = find(delta.getStream());
        if (found.isEmpty()) {
            return;
        }
        RelayedState state = found.get();
        long confirmed = now - Math.max(0, delta.getConfirmedAgeMs());
        boolean continues =
                state.follower()
                        .installDelta(
                                delta.getFromOffset(), StreamDeltas.batchOf(delta), confirmed);
        if (!continues) {
            // A delta was lost or overtaken; the fetch waits for the grace period.
            state.updatePeerOffset(sender, delta.getNextOffset(), now);
        }
    }

    private static void confirm(RelayedState state, StreamPosition position, long now) {
        if (position.getConfirmedAgeMs() >= 0) {
            state.follower().confirm(position.getNextOffset(), now - position.getConfirmedAgeMs());
        }
    }

    private void onPosition(NodeName sender, StreamPosition position, long now) {
        Optional<RelayedState> found = find(position.getStream());
        if (found.isEmpty()) {
            return;
        }
        RelayedState state = found.get();
        if (position.getNextOffset() <= state.follower().nextOffset()) {
            return;
        }
        state.updatePeerOffset(sender, position.getNextOffset(), now);
        if (state.fetch() == null && shouldFetch(state, now)) {
            startFetch(state, sender, now);
        }
    }

    private boolean shouldFetch(RelayedState state, long now) {
        if (!state.hasSnapshot()) {
            return true;
        }
        boolean relayed = state.isRelayed(now, mSettings.staleAfter().toMillis());
        if (relayed || state.follower().stream() == KeyedStream.CONFIGURATION) {
            return now - state.behindSinceMilliseconds()
                    >= mSettings.logReadGracePeriod().toMillis();
        }
        long age = state.follower().confirmedAgeMilliseconds();
        return age < 0 || age >= mSettings.staleAfter().toMillis();
    }

    private void startFetch(RelayedState state, NodeName peer, long now) {
        SnapshotFetch fetch = new SnapshotFetch(peer, now);
        state.fetch(fetch);
        requestParts(state, fetch, now);
    }

    private void advanceFetch(RelayedState state, long now) {
        SnapshotFetch fetch = state.fetch();
        if (fetch == null) {
            startFetchIfBehind(state, now);
            return;
        }
        if (now - fetch.lastProgressMilliseconds() >= mSettings.giveUpAfter().toMillis()) {
            state.fetch(null);
            state.giveUp(fetch.peer());
        } else if (now - fetch.lastRequestMilliseconds() >= mSettings.retryInterval().toMillis()) {
            requestParts(state, fetch, now);
        }
    }

    private void startFetchIfBehind(RelayedState state, long now) {
        boolean behind = state.isBehind() || !state.hasSnapshot();
        List<NodeName> peers = mOutbox.peers();
        if (behind && !peers.isEmpty() && shouldFetch(state, now)) {
            NodeName peer =
                    state.peerAhead().orElseGet(() -> peers.get(mRandom.nextInt(peers.size())));
            startFetch(state, peer, now);
        }
    }

    private void requestParts(RelayedState state, SnapshotFetch fetch, long now) {
        fetch.markRequested(now);
        for (int part : fetch.missing().stream().limit(MAXIMUM_REQUESTED_PARTS).toList()) {
            SnapshotWanted wanted =
                    SnapshotWanted.newBuilder()
                            .setStream(state.name())
                            .setNextOffset(fetch.nextOffset())
                            .setPart(part)
                            .build();
            mOutbox.send(fetch.peer(), RelayMessage.newBuilder().setWanted(wanted).build());
        }
    }

    private void onRequest(NodeName sender, SnapshotWanted wanted) {
        find(wanted.getStream())
                .filter(RelayedState::hasSnapshot)
                .ifPresent(
                        state -> {
                            SnapshotPart part = state.part(wanted.getPart());
                            mOutbox.send(sender, RelayMessage.newBuilder().setPart(part).build());
                        });
    }

    private void onPart(NodeName sender, SnapshotPart part, long now) {
        Optional<RelayedState> found = find(part.getStream());
        if (found.isEmpty() || found.get().fetch() == null) {
            return;
        }
        RelayedState state = found.get();
        SnapshotFetch fetch = state.fetch();
        if (!sender.equals(fetch.peer())) {
            return;
        }
        boolean startsSnapshot = fetch.startsSnapshot(part);
        Optional<byte[]> complete = fetch.addPart(part, now);
        if (complete.isPresent()) {
            state.fetch(null);
            installSnapshot(state, fetch, complete.get(), now);
        } else if (startsSnapshot) {
            requestParts(state, fetch, now);
        }
    }

    private void installSnapshot(RelayedState state, SnapshotFetch fetch, byte[] bytes, long now) {
        try {
            KeyedBatch snapshot = new KeyedBatch(SnapshotBytes.decode(bytes), fetch.nextOffset());
            long age = fetch.confirmedAgeMilliseconds();
            state.follower().installSnapshot(snapshot, age < 0 ? -1 : now - age);
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn(
                    "dropped a snapshot of {} from {} that can't be decoded",
                    state.name(),
                    fetch.peer());
        }
    }

    private Optional<RelayedState> find(RelayedStream name) {
        return mStates.stream().filter(state -> state.name() == name).findFirst();
    }
}
