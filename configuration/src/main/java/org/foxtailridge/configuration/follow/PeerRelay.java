package org.foxtailridge.configuration.follow;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.configuration.Advertise;
import org.foxtailridge.protocol.configuration.ConfigurationMessage;
import org.foxtailridge.protocol.configuration.FetchRecords;
import org.foxtailridge.protocol.configuration.FetchState;
import org.foxtailridge.protocol.configuration.RelayedRecord;
import org.foxtailridge.protocol.configuration.RelayedRecords;
import org.foxtailridge.protocol.configuration.StatePart;

/**
 * Exchanges records and states with peers.
 *
 * <p>A node that has folded new records tells a few peers, which then fetch them. Besides, every
 * node asks one peer each period, which repairs what was lost and carries how current the peer is.
 */
final class PeerRelay {
    private static final long NEVER = -1;
    private static final int FAR_SHARE = 8;

    private final FollowerSettings mSettings;
    private final FollowerOutbox mOutbox;
    private final FollowedState mState;
    private final UniformRandomProvider mRandom;
    private final StateSender mSender;
    private final StateReceiver mReceiver;
    private final Set<NodeName> mHeard = new HashSet<>();
    private Peers mPeers = Peers.none();
    private long mRequests;
    private Optional<NodeName> mAsked = Optional.empty();
    private Instant mAskedAt = Instant.MIN;
    private Instant mNextPollAt = Instant.MIN;
    private Optional<NodeName> mAhead = Optional.empty();
    private long mAheadOffset;

    PeerRelay(
            FollowerSettings settings,
            FollowerOutbox outbox,
            FollowedState state,
            UniformRandomProvider random) {
        mSettings = settings;
        mOutbox = outbox;
        mState = state;
        mRandom = random;
        mSender = new StateSender(settings.partBytes(), state);
        mReceiver = new StateReceiver(settings.stateParts());
    }

    void setPeers(Peers peers) {
        mPeers = peers;
    }

    /** Returns whether enough peers have answered for this node to know the highest offset. */
    boolean heardEnough() {
        return !mHeard.isEmpty()
                && mHeard.size() >= Math.min(mSettings.peersHeard(), mPeers.count())
                && mState.offset() >= mAheadOffset;
    }

    void tick(Instant now) {
        if (mAsked.isPresent() && !now.isBefore(mAskedAt.plus(mSettings.requestTimeout()))) {
            mAsked = Optional.empty();
            mAhead = Optional.empty();
        }
        if (mAsked.isEmpty() && !now.isBefore(mNextPollAt)) {
            poll(now);
        }
    }

    /** Tells a few peers of new records. */
    void advertise() {
        ConfigurationMessage message =
                ConfigurationMessage.newBuilder()
                        .setAdvertise(Advertise.newBuilder().setOffset(mState.offset()))
                        .build();
        List<NodeName> peers = new ArrayList<>(mPeers.near());
        for (int count = 0; count < mSettings.fanOut() && !peers.isEmpty(); count++) {
            mOutbox.send(peers.remove(mRandom.nextInt(peers.size())), message);
        }
        if (mPeers.readsLog() && !mPeers.far().isEmpty()) {
            mOutbox.send(anyOf(mPeers.far()), message);
        }
    }

    void onAdvertise(NodeName from, Advertise advertise, Instant now) {
        noteAhead(from, advertise.getOffset());
        fetchFromAhead(now);
    }

    void onFetchRecords(NodeName from, FetchRecords fetch, Instant now) {
        noteAhead(from, fetch.getFrom() - 1);
        boolean below = fetch.getFrom() < mState.window().first();
        if (below && fetch.getFrom() <= mState.offset()) {
            sendState(from, fetch.getRequest(), mState.offset(), 0);
        } else {
            sendRecords(from, fetch, now);
        }
        fetchFromAhead(now);
    }

    void onFetchState(NodeName from, FetchState fetch) {
        if (mState.offset() >= 0) {
            sendState(from, fetch.getRequest(), fetch.getCoveredOffset(), fetch.getPart());
        }
    }

    void onRecords(NodeName from, RelayedRecords answer, Instant now) {
        long before = mState.offset();
        long offset = answer.getFirstOffset();
        for (RelayedRecord record : answer.getRecordsList()) {
            if (!mState.fold(offset, record)) {
                break;
            }
            offset++;
        }
        noteAhead(from, answer.getSenderOffset());
        if (!isAwaited(from, answer.getRequest())) {
            return;
        }
        mAsked = Optional.empty();
        if (mState.offset() >= answer.getSenderOffset()) {
            noteHeard(from);
            confirmBy(answer);
        }
        if (mState.offset() > before) {
            fetchFromAhead(now);
        } else {
            mAhead = Optional.empty();
        }
    }

    void onStatePart(NodeName from, StatePart part, Instant now) {
        if (!isAwaited(from, part.getRequest())) {
            return;
        }
        mAsked = Optional.empty();
        if (!mState.liesAhead(part.getCoveredOffset()) || !mReceiver.take(part)) {
            return;
        }
        if (mReceiver.nextPart() < part.getParts()) {
            askState(from, now);
            return;
        }
        mReceiver.finish().ifPresent(mState::install);
        askRecords(from, now);
    }

    private void confirmBy(RelayedRecords answer) {
        if (answer.getConfirmedAgeMs() != NEVER) {
            mState.confirm(mAskedAt.minusMillis(answer.getConfirmedAgeMs()));
        }
    }

    private void noteHeard(NodeName from) {
        if (mHeard.size() < mSettings.peersHeard()) {
            mHeard.add(from);
        }
    }

    private void noteAhead(NodeName from, long offset) {
        if (offset > mState.offset() && (mAhead.isEmpty() || offset > mAheadOffset)) {
            mAhead = Optional.of(from);
            mAheadOffset = offset;
        }
    }

    private void fetchFromAhead(Instant now) {
        if (mAhead.isEmpty() || mAsked.isPresent() || mState.stopped()) {
            return;
        }
        if (mAheadOffset <= mState.offset()) {
            mAhead = Optional.empty();
            return;
        }
        askRecords(mAhead.get(), now);
    }

    private void poll(Instant now) {
        long period = mSettings.pollPeriod().toMillis();
        long jitter = mRandom.nextLong(Math.max(1, period / 2));
        mNextPollAt = now.plusMillis(period - period / 4 + jitter);
        if (mState.stopped()) {
            return;
        }
        pollTarget(now).ifPresent(peer -> askRecords(peer, now));
    }

    private Optional<NodeName> pollTarget(Instant now) {
        boolean stale = mState.isStale(now, mSettings.farAfter());
        boolean far = mRandom.nextInt(stale ? 2 : FAR_SHARE) == 0;
        boolean farWanted = far && (stale || mPeers.readsLog());
        if (!mPeers.far().isEmpty() && (farWanted || mPeers.near().isEmpty())) {
            return Optional.of(anyOf(mPeers.far()));
        }
        return mPeers.near().isEmpty() ? Optional.empty() : Optional.of(anyOf(mPeers.near()));
    }

    private NodeName anyOf(List<NodeName> nodes) {
        return nodes.get(mRandom.nextInt(nodes.size()));
    }

    private void askRecords(NodeName peer, Instant now) {
        FetchRecords fetch =
                FetchRecords.newBuilder()
                        .setRequest(nextRequest(peer, now))
                        .setFrom(mState.offset() + 1)
                        .build();
        mOutbox.send(peer, ConfigurationMessage.newBuilder().setFetchRecords(fetch).build());
    }

    private void askState(NodeName peer, Instant now) {
        FetchState fetch =
                FetchState.newBuilder()
                        .setRequest(nextRequest(peer, now))
                        .setCoveredOffset(mReceiver.covered())
                        .setPart(mReceiver.nextPart())
                        .build();
        mOutbox.send(peer, ConfigurationMessage.newBuilder().setFetchState(fetch).build());
    }

    private long nextRequest(NodeName peer, Instant now) {
        mAsked = Optional.of(peer);
        mAskedAt = now;
        return ++mRequests;
    }

    private boolean isAwaited(NodeName from, long request) {
        return request == mRequests && mAsked.equals(Optional.of(from));
    }

    private void sendState(NodeName to, long request, long covered, int part) {
        StatePart answer = mSender.part(request, covered, part);
        mOutbox.send(to, ConfigurationMessage.newBuilder().setStatePart(answer).build());
    }

    private void sendRecords(NodeName to, FetchRecords fetch, Instant now) {
        List<RelayedRecord> records =
                mState.window().from(fetch.getFrom(), mSettings.answerBytes());
        long age = mState.staleness(now).map(Duration::toMillis).map(ms -> ms + 1).orElse(NEVER);
        RelayedRecords answer =
                RelayedRecords.newBuilder()
                        .setRequest(fetch.getRequest())
                        .setFirstOffset(fetch.getFrom())
                        .addAllRecords(records)
                        .setSenderOffset(mState.offset())
                        .setConfirmedAgeMs(age)
                        .build();
        mOutbox.send(to, ConfigurationMessage.newBuilder().setRelayedRecords(answer).build());
    }
}
