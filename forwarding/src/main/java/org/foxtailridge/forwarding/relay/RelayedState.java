package org.foxtailridge.forwarding.relay;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.forwarding.stream.StreamFollower;
import org.foxtailridge.protocol.relay.RelayedStream;
import org.foxtailridge.protocol.relay.SnapshotPart;
import org.foxtailridge.protocol.relay.StreamPosition;

/**
 * State of one relayed stream: its follower, the snapshot as parts for other nodes, the highest
 * offset that a peer announced with that peer, and the fetch in flight, if any.
 */
final class RelayedState {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final StreamFollower mFollower;
    private final RelayedStream mName;
    private final int mPartBytes;
    private byte[] mSnapshotBytes = new byte[0];
    private long mSnapshotOffset = -1;
    private SnapshotFetch mFetch;
    private long mBehindSinceMilliseconds;
    private long mPeerOffset = -1;
    private Optional<NodeName> mPeerAhead = Optional.empty();
    private long mRelayedMilliseconds = NEVER;

    RelayedState(StreamFollower follower, int partBytes) {
        mFollower = follower;
        mPartBytes = partBytes;
        mName = nameOf(follower.stream());
    }

    static RelayedStream nameOf(KeyedStream stream) {
        return switch (stream) {
            case CONFIGURATION -> RelayedStream.CONFIGURATION_STREAM;
            case ENDPOINTS -> RelayedStream.ENDPOINTS_STREAM;
            case NODES ->
                    throw new IllegalArgumentException(
                            "expected a relayed stream but was " + stream);
        };
    }

    StreamFollower follower() {
        return mFollower;
    }

    RelayedStream name() {
        return mName;
    }

    SnapshotFetch fetch() {
        return mFetch;
    }

    void fetch(SnapshotFetch fetch) {
        mFetch = fetch;
    }

    /** Records the offset up to which a peer has read. */
    void updatePeerOffset(NodeName peer, long nextOffset, long nowMilliseconds) {
        if (!isBehind()) {
            mBehindSinceMilliseconds = nowMilliseconds;
        }
        if (nextOffset >= mPeerOffset) {
            mPeerOffset = nextOffset;
            mPeerAhead = Optional.of(peer);
        }
    }

    /** Returns the last peer that announced the highest offset; empty if it was given up. */
    Optional<NodeName> peerAhead() {
        return mPeerAhead;
    }

    /** Fetches from this peer no more until it announces an offset again. */
    void giveUp(NodeName peer) {
        mPeerAhead = mPeerAhead.filter(ahead -> !ahead.equals(peer));
    }

    /** Returns whether any peer announced a higher offset than this node has reached. */
    boolean isBehind() {
        return mPeerOffset > mFollower.nextOffset();
    }

    /**
     * Returns when this node fell behind, in milliseconds since the epoch; see {@link #isBehind}.
     */
    long behindSinceMilliseconds() {
        return mBehindSinceMilliseconds;
    }

    /** Records that another node reads this stream for this node. */
    void setRelayed(long nowMilliseconds) {
        mRelayedMilliseconds = nowMilliseconds;
    }

    /** Returns whether another node has informed this one within the maximum age. */
    boolean isRelayed(long nowMilliseconds, long maximumAgeMilliseconds) {
        return nowMilliseconds - mRelayedMilliseconds < maximumAgeMilliseconds;
    }

    boolean hasSnapshot() {
        return mFollower.nextOffset() >= 0;
    }

    StreamPosition position() {
        return StreamPosition.newBuilder()
                .setStream(mName)
                .setNextOffset(mFollower.nextOffset())
                .setConfirmedAgeMs(mFollower.confirmedAgeMilliseconds())
                .build();
    }

    /** Returns a part of the snapshot, which is encoded again only after the offset has changed. */
    SnapshotPart part(int part) {
        if (mSnapshotOffset != mFollower.nextOffset()) {
            mSnapshotBytes = SnapshotBytes.encode(mFollower.values());
            mSnapshotOffset = mFollower.nextOffset();
        }
        int parts = Math.max(1, (mSnapshotBytes.length + mPartBytes - 1) / mPartBytes);
        int from = Math.min(mSnapshotBytes.length, part * mPartBytes);
        int length = Math.min(mPartBytes, mSnapshotBytes.length - from);
        return SnapshotPart.newBuilder()
                .setStream(mName)
                .setNextOffset(mSnapshotOffset)
                .setConfirmedAgeMs(mFollower.confirmedAgeMilliseconds())
                .setPart(part)
                .setParts(parts)
                .setData(ByteString.copyFrom(mSnapshotBytes, from, length))
                .build();
    }
}
