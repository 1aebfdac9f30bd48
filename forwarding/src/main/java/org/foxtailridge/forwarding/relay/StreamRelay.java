package org.foxtailridge.forwarding.relay;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.util.ArrayList;
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
import org.foxtailridge.protocol.relay.StreamPosition;
import org.foxtailridge.protocol.relay.StreamPositions;

/**
 * Hands the streams that this node follows to nodes that are behind, and fetches what others have.
 *
 * <p>Positions are announced to all peers when records were read and to a few now and then. A node
 * that is behind gives its own read of the log a moment, then fetches a snapshot in parts. Streams
 * that change all the time are fetched only while the log does not answer this node. Confined to
 * one thread.
 *
 * <pre>{@code
 * StreamRelay relay = new StreamRelay(settings, clock, random, outbox, List.of(follower));
 * relay.tick(); // often
 * relay.announce(); // records of the configuration were read
 * relay.receive(sender, message); // subject RELAY
 * }</pre>
 */
public final class StreamRelay {
    private static final Logger LOGGER = LogManager.getLogger(StreamRelay.class);
    private static final int PARTS_AT_ONCE = 32;

    private final RelaySettings mSettings;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final RelayOutbox mOutbox;
    private final List<RelayedState> mStates;
    private long mAnnouncedMilliseconds;

    /** Creates a relay over the followers of this node. */
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

    /** Tells all peers how far this node has read. */
    public void announce() {
        announceTo(mOutbox.peers());
    }

    /** Announces, fetches and asks again as far as due. */
    public void tick() {
        long now = mClock.millis();
        if (now - mAnnouncedMilliseconds >= mSettings.announceInterval().toMillis()) {
            mAnnouncedMilliseconds = now;
            List<NodeName> peers = new ArrayList<>(mOutbox.peers());
            Collections.shuffle(peers, new java.util.Random(mRandom.nextLong()));
            announceTo(peers.subList(0, Math.min(peers.size(), mSettings.announcePeers())));
        }
        mStates.forEach(state -> proceed(state, now));
    }

    /** Takes a message of another node. */
    public void receive(NodeName sender, RelayMessage message) {
        long now = mClock.millis();
        switch (message.getKindCase()) {
            case POSITIONS ->
                    message.getPositions()
                            .getPositionsList()
                            .forEach(position -> onPosition(sender, position, now));
            case WANTED -> onWanted(sender, message.getWanted());
            case PART -> onPart(sender, message.getPart(), now);
            default -> LOGGER.debug("message of {} has an unknown kind", sender);
        }
    }

    private void announceTo(List<NodeName> peers) {
        StreamPositions.Builder positions = StreamPositions.newBuilder();
        for (RelayedState state : mStates) {
            if (state.isKnown()) {
                positions.addPositions(state.position());
            }
        }
        if (positions.getPositionsCount() > 0) {
            RelayMessage message = RelayMessage.newBuilder().setPositions(positions).build();
            peers.forEach(peer -> mOutbox.send(peer, message));
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
        state.known(position.getNextOffset(), now);
        if (state.fetch() == null && isWorthFetching(state, now)) {
            startFetch(state, sender, now);
        }
    }

    private boolean isWorthFetching(RelayedState state, long now) {
        if (!state.isKnown()) {
            return true;
        }
        if (state.follower().stream() == KeyedStream.CONFIGURATION) {
            return now - state.behindSinceMilliseconds() >= mSettings.patience().toMillis();
        }
        long age = state.follower().confirmedAgeMilliseconds();
        return age < 0 || age >= mSettings.staleAfter().toMillis();
    }

    private void startFetch(RelayedState state, NodeName peer, long now) {
        SnapshotFetch fetch = new SnapshotFetch(peer, now);
        state.fetch(fetch);
        ask(state, fetch, now);
    }

    private void proceed(RelayedState state, long now) {
        SnapshotFetch fetch = state.fetch();
        if (fetch == null) {
            askAnyIfBehind(state, now);
            return;
        }
        if (now - fetch.progressMilliseconds() >= mSettings.giveUpAfter().toMillis()) {
            state.fetch(null);
        } else if (now - fetch.askedMilliseconds() >= mSettings.retryInterval().toMillis()) {
            ask(state, fetch, now);
        }
    }

    private void askAnyIfBehind(RelayedState state, long now) {
        boolean behind = state.isBehind() || !state.isKnown();
        List<NodeName> peers = mOutbox.peers();
        if (behind && !peers.isEmpty() && isWorthFetching(state, now)) {
            startFetch(state, peers.get(mRandom.nextInt(peers.size())), now);
        }
    }

    private void ask(RelayedState state, SnapshotFetch fetch, long now) {
        fetch.asked(now);
        for (int part : fetch.missing().stream().limit(PARTS_AT_ONCE).toList()) {
            SnapshotWanted wanted =
                    SnapshotWanted.newBuilder()
                            .setStream(state.name())
                            .setNextOffset(fetch.nextOffset())
                            .setPart(part)
                            .build();
            mOutbox.send(fetch.peer(), RelayMessage.newBuilder().setWanted(wanted).build());
        }
    }

    private void onWanted(NodeName sender, SnapshotWanted wanted) {
        find(wanted.getStream())
                .filter(RelayedState::isKnown)
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
        boolean first = fetch.isFirst(part);
        Optional<byte[]> whole = fetch.take(part, now);
        if (whole.isPresent()) {
            state.fetch(null);
            adopt(state, fetch, whole.get(), now);
        } else if (first) {
            ask(state, fetch, now);
        }
    }

    private void adopt(RelayedState state, SnapshotFetch fetch, byte[] bytes, long now) {
        try {
            KeyedBatch snapshot = new KeyedBatch(SnapshotBytes.read(bytes), fetch.nextOffset());
            long age = fetch.confirmedAgeMilliseconds();
            state.follower().takeSnapshot(snapshot, age < 0 ? -1 : now - age);
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("snapshot of {} by {} can't be read", state.name(), fetch.peer());
        }
    }

    private Optional<RelayedState> find(RelayedStream name) {
        return mStates.stream().filter(state -> state.name() == name).findFirst();
    }
}
