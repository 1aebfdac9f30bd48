package org.foxtailridge.configuration.follow;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.record.RecordCodec;
import org.foxtailridge.protocol.configuration.StatePart;

/** Cuts the state of this node into parts for peers; keeps one encoded state. */
final class StateSender {
    private static final long NONE = Long.MIN_VALUE;

    private final int mPartBytes;
    private final FollowedState mState;
    private ByteString mEncoded = ByteString.EMPTY;
    private long mCovered = NONE;

    StateSender(int partBytes, FollowedState state) {
        mPartBytes = partBytes;
        mState = state;
    }

    /**
     * Returns a part of the state that covers the offset asked for, or the first part of a newer
     * state when that one is no longer at hand.
     */
    StatePart part(long request, long coveredOffset, int part) {
        boolean usable = mCovered == coveredOffset && part < parts();
        if (!usable && !canContinueFrom(mCovered)) {
            encode();
        }
        int number = mCovered == coveredOffset && part < parts() ? part : 0;
        int start = number * mPartBytes;
        int end = Math.min(mEncoded.size(), start + mPartBytes);
        return StatePart.newBuilder()
                .setRequest(request)
                .setCoveredOffset(mCovered)
                .setPart(number)
                .setParts(parts())
                .setData(mEncoded.substring(start, end))
                .build();
    }

    private boolean canContinueFrom(long covered) {
        return covered != NONE && covered + 1 >= mState.window().first();
    }

    private int parts() {
        return (mEncoded.size() + mPartBytes - 1) / mPartBytes;
    }

    private void encode() {
        ConfigurationState state = mState.current();
        String payload = RecordCodec.write(state.toSnapshot("state-" + state.offset()));
        mEncoded = ByteString.copyFrom(payload, StandardCharsets.UTF_8);
        mCovered = state.offset();
    }
}
