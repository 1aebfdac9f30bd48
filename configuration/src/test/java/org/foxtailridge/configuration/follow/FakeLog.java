package org.foxtailridge.configuration.follow;

import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.fold.ConfigurationState;

/** A log that can drop old records, beside a reference fold of every record it ever held. */
final class FakeLog {
    private final List<String> mRecords = new ArrayList<>();
    private final List<ConfigurationState> mReference = new ArrayList<>();
    private final ConfigurationFold mFold = ConfigurationFold.create();
    private long mFirstRetained;
    private boolean mUp = true;

    long append(String payload) {
        mRecords.add(payload);
        mFold.apply(mRecords.size() - 1L, payload);
        mReference.add(mFold.state());
        return mRecords.size() - 1L;
    }

    ConfigurationState referenceAt(long offset) {
        return offset < 0 ? ConfigurationState.empty() : mReference.get((int) offset);
    }

    long last() {
        return mRecords.size() - 1L;
    }

    void dropBelow(long offset) {
        mFirstRetained = Math.max(mFirstRetained, Math.min(offset, mRecords.size()));
    }

    boolean isUp() {
        return mUp;
    }

    void setUp(boolean up) {
        mUp = up;
    }

    LogAnswer read(LogRead read) {
        List<LogRecord> records = new ArrayList<>();
        long from = Math.max(read.from(), mFirstRetained);
        for (long offset = from; offset <= last() && records.size() < read.limit(); offset++) {
            records.add(new LogRecord(offset, mRecords.get((int) offset)));
        }
        return new LogAnswer(mFirstRetained, last() + 1, records);
    }
}
