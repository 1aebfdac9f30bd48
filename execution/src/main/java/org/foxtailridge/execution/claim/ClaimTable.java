package org.foxtailridge.execution.claim;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The state of all keys, folded from the log in order; every reader of the same records comes to
 * the same state.
 *
 * <p>Keys older than the window are kept without their answer while there is room, so that a late
 * repetition is refused and not run again.
 */
final class ClaimTable {
    private static final int ROOM_PERCENT = 90;
    private static final int PERCENT = 100;

    private final ClaimSettings mSettings;
    private final ClaimRules mRules;
    private final LinkedHashMap<String, KeyEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, KeyEntry> mExpired =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, KeyEntry> eldest) {
                    return size() > mSettings.maximumKeys();
                }
            };
    private final Set<String> mAnswers = new LinkedHashSet<>();
    private long mKeptBytes;
    private long mLogMilliseconds = Long.MIN_VALUE;

    ClaimTable(ClaimSettings settings, ClaimRules rules) {
        mSettings = settings;
        mRules = rules;
    }

    Optional<KeyEntry> entryOf(String key) {
        KeyEntry entry = mEntries.get(key);
        return Optional.ofNullable(entry == null ? mExpired.get(key) : entry);
    }

    /** Returns whether new keys may be claimed. */
    boolean hasRoom() {
        return (long) mEntries.size() * PERCENT < (long) mSettings.maximumKeys() * ROOM_PERCENT;
    }

    /** Returns the log time of the last record, empty when none was read. */
    Optional<Long> logMilliseconds() {
        return mLogMilliseconds == Long.MIN_VALUE
                ? Optional.empty()
                : Optional.of(mLogMilliseconds);
    }

    /** Applies one record. */
    void apply(ClaimRecord record, LogRecord position, long nowMilliseconds) {
        mLogMilliseconds = Math.max(mLogMilliseconds, position.timeMilliseconds());
        expire();
        switch (record.type()) {
            case CLAIM -> claim(record, position, nowMilliseconds);
            case RELEASE -> end(record, KeyEntry.State.RELEASED);
            case ANSWERED -> end(record, KeyEntry.State.ANSWERED);
            default -> end(record, KeyEntry.State.UNKNOWN);
        }
    }

    private void claim(ClaimRecord record, LogRecord position, long nowMilliseconds) {
        KeyEntry entry = entryOf(record.key()).orElse(null);
        if (!mRules.wins(entry)) {
            return;
        }
        mEntries.remove(record.key());
        mEntries.put(record.key(), KeyEntry.claimed(record, position, nowMilliseconds));
        if (mEntries.size() > mSettings.maximumKeys()) {
            expireFirst();
        }
    }

    private void end(ClaimRecord record, KeyEntry.State state) {
        KeyEntry entry = mEntries.get(record.key());
        boolean stands =
                entry != null
                        && entry.claim().equals(record.claim())
                        && entry.state() == KeyEntry.State.CLAIMED;
        if (stands) {
            ClaimRecord answer = state == KeyEntry.State.ANSWERED ? record : null;
            mEntries.put(record.key(), entry.ended(state, answer));
            keepAnswer(record);
        }
    }

    private void keepAnswer(ClaimRecord record) {
        if (record.answerBytes() == 0) {
            return;
        }
        mAnswers.add(record.key());
        mKeptBytes += record.answerBytes();
        while (mKeptBytes > mSettings.maximumKeptBytes()) {
            Iterator<String> oldest = mAnswers.iterator();
            dropAnswer(oldest.next());
            oldest.remove();
        }
    }

    private void dropAnswer(String key) {
        KeyEntry entry = mEntries.get(key);
        if (entry != null && entry.answer() != null) {
            mKeptBytes -= entry.answer().answerBytes();
            mEntries.put(key, entry.ended(entry.state(), entry.answer().withoutAnswer()));
        }
    }

    private void expire() {
        long oldest = mLogMilliseconds - mSettings.windowMilliseconds();
        boolean found = true;
        while (found && !mEntries.isEmpty()) {
            found = mEntries.values().iterator().next().timeMilliseconds() < oldest;
            if (found) {
                expireFirst();
            }
        }
    }

    private void expireFirst() {
        Iterator<Map.Entry<String, KeyEntry>> entries = mEntries.entrySet().iterator();
        Map.Entry<String, KeyEntry> first = entries.next();
        entries.remove();
        if (first.getValue().answer() != null && first.getValue().answer().answerBytes() > 0) {
            mKeptBytes -= first.getValue().answer().answerBytes();
            mAnswers.remove(first.getKey());
        }
        if (first.getValue().state() != KeyEntry.State.RELEASED) {
            mExpired.put(first.getKey(), first.getValue().ended(KeyEntry.State.EXPIRED, null));
        }
    }

    /** Returns the bytes of all answers that are kept. */
    long keptBytes() {
        return mKeptBytes;
    }

    /** Returns a copy of the state, for comparison in tests. */
    Map<String, KeyEntry> snapshot() {
        Map<String, KeyEntry> all = new HashMap<>(mExpired);
        all.putAll(mEntries);
        return all;
    }
}
