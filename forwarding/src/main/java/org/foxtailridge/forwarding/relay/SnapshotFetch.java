package org.foxtailridge.forwarding.relay;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.relay.SnapshotPart;

/**
 * Fetch of one snapshot from one peer: collects the parts, in any order, until none is missing. A
 * part of another offset belongs to another snapshot and starts the collection again.
 */
final class SnapshotFetch {
    // Bounds the memory that one peer can occupy: 4,096 parts are nearly 5 MB of compressed data.
    private static final int MAXIMUM_PARTS = 4_096;

    private final NodeName mPeer;
    private long mNextOffset;
    private ByteString[] mParts = new ByteString[0];
    private int mMissingCount = 1;
    private long mConfirmedAgeMilliseconds;
    private long mLastProgressMilliseconds;
    private long mLastRequestMilliseconds;

    SnapshotFetch(NodeName peer, long nowMilliseconds) {
        mPeer = peer;
        mLastProgressMilliseconds = nowMilliseconds;
        mLastRequestMilliseconds = nowMilliseconds;
    }

    NodeName peer() {
        return mPeer;
    }

    /** Returns the offset up to which the snapshot goes; 0 before the first part. */
    long nextOffset() {
        return mNextOffset;
    }

    long confirmedAgeMilliseconds() {
        return mConfirmedAgeMilliseconds;
    }

    long lastProgressMilliseconds() {
        return mLastProgressMilliseconds;
    }

    long lastRequestMilliseconds() {
        return mLastRequestMilliseconds;
    }

    void markRequested(long nowMilliseconds) {
        mLastRequestMilliseconds = nowMilliseconds;
    }

    boolean startsSnapshot(SnapshotPart part) {
        return mParts.length == 0 || part.getNextOffset() != mNextOffset;
    }

    /** Adds a part; returns the complete snapshot once no part is missing. */
    Optional<byte[]> addPart(SnapshotPart part, long nowMilliseconds) {
        int parts = part.getParts();
        if (parts < 1 || parts > MAXIMUM_PARTS || part.getPart() >= parts || part.getPart() < 0) {
            return Optional.empty();
        }
        if (startsSnapshot(part)) {
            mNextOffset = part.getNextOffset();
            mParts = new ByteString[parts];
            mMissingCount = parts;
        }
        if (parts != mParts.length || mParts[part.getPart()] != null) {
            return Optional.empty();
        }
        mParts[part.getPart()] = part.getData();
        mMissingCount--;
        mLastProgressMilliseconds = nowMilliseconds;
        mConfirmedAgeMilliseconds = part.getConfirmedAgeMs();
        return mMissingCount == 0 ? Optional.of(join()) : Optional.empty();
    }

    /** Returns the numbers of the parts to request; only part 0 while their count is unknown. */
    List<Integer> missing() {
        List<Integer> missing = new ArrayList<>();
        for (int part = 0; part < mParts.length; part++) {
            if (mParts[part] == null) {
                missing.add(part);
            }
        }
        return mParts.length == 0 ? List.of(0) : missing;
    }

    private byte[] join() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (ByteString part : mParts) {
            try {
                part.writeTo(bytes);
            } catch (IOException impossible) {
                throw new UncheckedIOException(impossible);
            }
        }
        return bytes.toByteArray();
    }
}
