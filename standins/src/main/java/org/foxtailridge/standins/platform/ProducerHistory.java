package org.foxtailridge.standins.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** What one producer has appended to a partition. */
final class ProducerHistory {
    private static final int REPEATS_KNOWN = 5;

    private final Map<Long, AppendOutcome> mRecent = new LinkedHashMap<>();
    private long mEpoch = -1;
    private long mLastSequence;
    private boolean mAppended;

    /** Returns the outcome of an append that is not to be carried out; empty for one that is. */
    Optional<AppendOutcome> check(ProducerStamp stamp, boolean empty) {
        if (stamp.epoch() < mEpoch) {
            return Optional.of(new AppendOutcome.Fenced());
        }
        boolean anyNumber = empty || stamp.epoch() > mEpoch || !mAppended;
        if (anyNumber || stamp.sequence() == mLastSequence + 1) {
            return Optional.empty();
        }
        AppendOutcome repeated = mRecent.get(stamp.sequence());
        return Optional.of(
                repeated == null ? new AppendOutcome.OutOfSequence(mLastSequence + 1) : repeated);
    }

    /** Notes an append that was carried out. */
    void appended(ProducerStamp stamp, AppendOutcome outcome, boolean empty) {
        if (stamp.epoch() > mEpoch) {
            mEpoch = stamp.epoch();
            mAppended = false;
            mRecent.clear();
        }
        if (empty) {
            return;
        }
        mAppended = true;
        mLastSequence = stamp.sequence();
        mRecent.put(stamp.sequence(), outcome);
        if (mRecent.size() > REPEATS_KNOWN) {
            mRecent.remove(mRecent.keySet().iterator().next());
        }
    }
}
