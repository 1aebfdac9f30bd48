package org.foxtailridge.forwarding.relay;

import com.google.protobuf.ByteString;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.forwarding.stream.StreamFollower;
import org.foxtailridge.protocol.relay.RelayedStream;
import org.foxtailridge.protocol.relay.SnapshotPart;
import org.foxtailridge.protocol.relay.StreamPosition;

/** One stream that this node follows, and the parts in which it hands the stream on. */
final class RelayedState {
    private final StreamFollower mFollower;
    private final RelayedStream mName;
    private final int mPartBytes;
    private byte[] mBytes = new byte[0];
    private long mBytesOffset = -1;
    private SnapshotFetch mFetch;
    private long mBehindSinceMilliseconds;
    private long mKnownOffset = -1;

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

    /** Notes that a peer has read up to an offset. */
    void known(long nextOffset, long nowMilliseconds) {
        if (!isBehind()) {
            mBehindSinceMilliseconds = nowMilliseconds;
        }
        mKnownOffset = Math.max(mKnownOffset, nextOffset);
    }

    /** Returns whether a peer has read more than this node. */
    boolean isBehind() {
        return mKnownOffset > mFollower.nextOffset();
    }

    /** Returns since when a peer is known to be ahead; only while one is. */
    long behindSinceMilliseconds() {
        return mBehindSinceMilliseconds;
    }

    boolean isKnown() {
        return mFollower.nextOffset() >= 0;
    }

    StreamPosition position() {
        return StreamPosition.newBuilder()
                .setStream(mName)
                .setNextOffset(mFollower.nextOffset())
                .setConfirmedAgeMs(mFollower.confirmedAgeMilliseconds())
                .build();
    }

    SnapshotPart part(int part) {
        if (mBytesOffset != mFollower.nextOffset()) {
            mBytes = SnapshotBytes.write(mFollower.values());
            mBytesOffset = mFollower.nextOffset();
        }
        int parts = Math.max(1, (mBytes.length + mPartBytes - 1) / mPartBytes);
        int from = Math.min(mBytes.length, part * mPartBytes);
        int length = Math.min(mPartBytes, mBytes.length - from);
        return SnapshotPart.newBuilder()
                .setStream(mName)
                .setNextOffset(mBytesOffset)
                .setConfirmedAgeMs(mFollower.confirmedAgeMilliseconds())
                .setPart(part)
                .setParts(parts)
                .setData(ByteString.copyFrom(mBytes, from, length))
                .build();
    }
}
