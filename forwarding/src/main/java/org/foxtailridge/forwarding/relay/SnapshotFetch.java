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

/** The parts of one snapshot that one peer sends. */
final class SnapshotFetch {
    // Bounds what one peer can make this node keep; 4,096 parts are nearly 5 MB compressed.
    private static final int MOST_PARTS = 4_096;

    private final NodeName mPeer;
    private long mNextOffset;
    private ByteString[] mParts = new ByteString[0];
    private int mMissing = 1;
    private long mConfirmedAgeMilliseconds;
    private long mProgressMilliseconds;
    private long mAskedMilliseconds;

    SnapshotFetch(NodeName peer, long nowMilliseconds) {
        mPeer = peer;
        mProgressMilliseconds = nowMilliseconds;
        mAskedMilliseconds = nowMilliseconds;
    }

    NodeName peer() {
        return mPeer;
    }

    /** Returns the position that the snapshot covers; 0 before the first part. */
    long nextOffset() {
        return mNextOffset;
    }

    long confirmedAgeMilliseconds() {
        return mConfirmedAgeMilliseconds;
    }

    long progressMilliseconds() {
        return mProgressMilliseconds;
    }

    long askedMilliseconds() {
        return mAskedMilliseconds;
    }

    void asked(long nowMilliseconds) {
        mAskedMilliseconds = nowMilliseconds;
    }

    boolean isFirst(SnapshotPart part) {
        return mParts.length == 0 || part.getNextOffset() != mNextOffset;
    }

    /** Takes a part; returns the whole snapshot once no part is missing. */
    Optional<byte[]> take(SnapshotPart part, long nowMilliseconds) {
        int parts = part.getParts();
        if (parts < 1 || parts > MOST_PARTS || part.getPart() >= parts || part.getPart() < 0) {
            return Optional.empty();
        }
        if (isFirst(part)) {
            mNextOffset = part.getNextOffset();
            mParts = new ByteString[parts];
            mMissing = parts;
        }
        if (parts != mParts.length || mParts[part.getPart()] != null) {
            return Optional.empty();
        }
        mParts[part.getPart()] = part.getData();
        mMissing--;
        mProgressMilliseconds = nowMilliseconds;
        mConfirmedAgeMilliseconds = part.getConfirmedAgeMs();
        return mMissing == 0 ? Optional.of(join()) : Optional.empty();
    }

    /** Returns the numbers of the parts to ask for. */
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
