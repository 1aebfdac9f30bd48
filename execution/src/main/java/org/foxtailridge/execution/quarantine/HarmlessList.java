package org.foxtailridge.execution.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Requests that were answered in whole, bounded and expiring. */
final class HarmlessList {
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final QuarantineSettings mSettings;
    private final Map<Fingerprint, Long> mExpiries;

    HarmlessList(QuarantineSettings settings) {
        mSettings = settings;
        mExpiries =
                new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
                        return size() > settings.maximumHarmless();
                    }
                };
    }

    void add(Fingerprint fingerprint, long now) {
        mExpiries.put(fingerprint, now + mSettings.suspectMilliseconds());
    }

    boolean contains(Fingerprint fingerprint, long now) {
        Long expires = mExpiries.get(fingerprint);
        return expires != null && expires > now;
    }
}
