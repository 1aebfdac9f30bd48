package org.foxtailridge.configuration.follow;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.record.ConfigurationRecord;
import org.foxtailridge.configuration.record.RecordCodec;
import org.foxtailridge.configuration.record.Snapshot;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.protocol.configuration.StatePart;

/** Puts the parts of a peer's state together, in their order and within a bound. */
final class StateReceiver {
    private final int mMaximumParts;
    private ByteString mReceived = ByteString.EMPTY;
    private long mCovered;
    private int mNextPart;

    StateReceiver(int maximumParts) {
        mMaximumParts = maximumParts;
    }

    /** Takes a part; returns false when the transfer can't go on. */
    boolean take(StatePart part) {
        if (part.getPart() == 0) {
            mReceived = ByteString.EMPTY;
            mCovered = part.getCoveredOffset();
            mNextPart = 0;
        }
        boolean next = part.getPart() == mNextPart && part.getCoveredOffset() == mCovered;
        if (!next || part.getParts() > mMaximumParts) {
            return false;
        }
        mReceived = mReceived.concat(part.getData());
        mNextPart++;
        return true;
    }

    long covered() {
        return mCovered;
    }

    int nextPart() {
        return mNextPart;
    }

    /** Returns the whole state after its last part; empty when it can't be read. */
    Optional<ConfigurationState> finish() {
        String payload = mReceived.toStringUtf8();
        mReceived = ByteString.EMPTY;
        mNextPart = 0;
        try {
            ConfigurationRecord record = RecordCodec.read(payload);
            return record instanceof Snapshot snapshot
                    ? Optional.of(ConfigurationState.of(snapshot))
                    : Optional.empty();
        } catch (FoxtailridgeException unreadable) {
            return Optional.empty();
        }
    }
}
