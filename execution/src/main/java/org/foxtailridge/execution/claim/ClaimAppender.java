package org.foxtailridge.execution.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects records into appends, one append at a time.
 *
 * <p>A claim whose append had no answer is never appended again: it is found by reading or not at
 * all. A release or outcome is appended again when it is not read for long, as readers take the
 * first one and ignore the rest.
 */
final class ClaimAppender {
    private final ClaimSettings mSettings;
    private final ClaimRules mRules;
    private final Deque<Entry> mQueue = new ArrayDeque<>();
    private final Map<String, Entry> mUnread = new LinkedHashMap<>();
    private List<Entry> mUnderWay = List.of();
    private long mAppend;
    private long mStartedMilliseconds = Long.MIN_VALUE / 2;
    private long mReadMilliseconds = Long.MIN_VALUE / 2;

    ClaimAppender(ClaimSettings settings, ClaimRules rules) {
        mSettings = settings;
        mRules = rules;
    }

    /** Queues a record; the oldest release or outcome gives way when there are too many. */
    void add(ClaimRecord record) {
        mQueue.addLast(new Entry(record, ClaimRecords.write(record), 0));
        if (mQueue.size() > 2 * mSettings.maximumCalls()) {
            mQueue.removeFirst();
        }
    }

    /** Takes a claim out of the queue; one that is under way or was sent stays so. */
    void withdraw(String claim) {
        mQueue.removeIf(entry -> entry.record().id().equals(claim));
    }

    /** Returns the next append if one is due. */
    Optional<ClaimDecision.Append> next(long nowMilliseconds) {
        long interval = mSettings.appendIntervalMilliseconds();
        boolean early = nowMilliseconds - mStartedMilliseconds < interval;
        if (!mUnderWay.isEmpty() || mQueue.isEmpty() || early) {
            return Optional.empty();
        }
        mUnderWay = takeBatch();
        mAppend++;
        mStartedMilliseconds = nowMilliseconds;
        List<String> payloads = mUnderWay.stream().map(Entry::payload).toList();
        return Optional.of(new ClaimDecision.Append(mAppend, payloads));
    }

    /** Notes how an append ended. */
    void ended(long append, AppendResult result, long nowMilliseconds) {
        if (append != mAppend || mUnderWay.isEmpty()) {
            return;
        }
        List<Entry> entries = mUnderWay;
        mUnderWay = List.of();
        if (result == AppendResult.REFUSED) {
            putBack(entries);
            return;
        }
        for (Entry entry : entries) {
            boolean again = entry.isEnding() || mRules.appendsLostClaimsAgain();
            if (again) {
                mUnread.put(entry.record().id(), entry.sentAt(nowMilliseconds));
            }
        }
        while (mUnread.size() > 2 * mSettings.maximumCalls()) {
            mUnread.remove(mUnread.keySet().iterator().next());
        }
    }

    /** Notes that the log was read to its end. */
    void readToEnd(long nowMilliseconds) {
        mReadMilliseconds = nowMilliseconds;
    }

    /** Notes that a record was read. */
    void read(String id) {
        mUnread.remove(id);
    }

    /** Gives up an append without an end, and queues again what is not read for long. */
    void tick(long nowMilliseconds) {
        long patience = mSettings.validityMilliseconds();
        if (!mUnderWay.isEmpty() && nowMilliseconds - mStartedMilliseconds >= 2 * patience) {
            ended(mAppend, AppendResult.LOST, nowMilliseconds);
        }
        List<Entry> late = new ArrayList<>();
        for (Entry entry : mUnread.values()) {
            boolean readSince = mReadMilliseconds - entry.sentMilliseconds() >= patience;
            if (readSince) {
                late.add(entry);
            }
        }
        late.forEach(entry -> mUnread.remove(entry.record().id()));
        mQueue.addAll(late);
    }

    private void putBack(List<Entry> entries) {
        for (int index = entries.size() - 1; index >= 0; index--) {
            mQueue.addFirst(entries.get(index));
        }
    }

    private List<Entry> takeBatch() {
        List<Entry> batch = new ArrayList<>();
        long bytes = 0;
        while (!mQueue.isEmpty() && batch.size() < mSettings.maximumAppendRecords()) {
            bytes += mQueue.getFirst().bytes();
            if (!batch.isEmpty() && bytes > mSettings.maximumAppendBytes()) {
                return batch;
            }
            batch.add(mQueue.removeFirst());
        }
        return batch;
    }

    private record Entry(ClaimRecord record, String payload, long sentMilliseconds) {
        private boolean isEnding() {
            return record.type() != ClaimRecord.Type.CLAIM;
        }

        private int bytes() {
            return payload.getBytes(StandardCharsets.UTF_8).length;
        }

        private Entry sentAt(long milliseconds) {
            return new Entry(record, payload, milliseconds);
        }
    }
}
