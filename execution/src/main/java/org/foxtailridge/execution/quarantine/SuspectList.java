package org.foxtailridge.execution.quarantine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Losses of endpoints by request, bounded and expiring. The oldest are dropped first. */
final class SuspectList {
    private final QuarantineSettings mSettings;
    private final Map<Fingerprint, Suspect> mSuspects = new LinkedHashMap<>();

    SuspectList(QuarantineSettings settings) {
        mSettings = settings;
    }

    /** Adds a loss; returns whether it is new. */
    boolean add(Fingerprint fingerprint, EndpointStart lost, long atMilliseconds) {
        Suspect suspect = suspect(fingerprint);
        suspect.mExpiresMilliseconds =
                Math.max(
                        suspect.mExpiresMilliseconds,
                        atMilliseconds + mSettings.suspectMilliseconds());
        return !suspect.mCleared.contains(lost) && suspect.mLosses.add(lost);
    }

    /** Clears losses; later news of the same losses are ignored. */
    void clear(Fingerprint fingerprint, List<EndpointStart> losses, long now) {
        Suspect suspect = suspect(fingerprint);
        suspect.mExpiresMilliseconds =
                Math.max(suspect.mExpiresMilliseconds, now + mSettings.suspectMilliseconds());
        suspect.mLosses.removeAll(losses);
        suspect.mCleared.addAll(losses);
    }

    /** Returns the endpoints lost to a request. */
    int losses(Fingerprint fingerprint, long now) {
        Suspect suspect = mSuspects.get(fingerprint);
        return suspect == null || suspect.mExpiresMilliseconds <= now ? 0 : suspect.mLosses.size();
    }

    List<EndpointStart> lost(Fingerprint fingerprint) {
        Suspect suspect = mSuspects.get(fingerprint);
        return suspect == null ? List.of() : List.copyOf(suspect.mLosses);
    }

    void expire(long now) {
        mSuspects.values().removeIf(suspect -> suspect.mExpiresMilliseconds <= now);
    }

    int size() {
        return mSuspects.size();
    }

    private Suspect suspect(Fingerprint fingerprint) {
        Suspect suspect = mSuspects.computeIfAbsent(fingerprint, unused -> new Suspect());
        if (mSuspects.size() > mSettings.maximumSuspects()) {
            Iterator<Fingerprint> oldest = mSuspects.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return suspect;
    }

    private static final class Suspect {
        private final Set<EndpointStart> mLosses = new HashSet<>();
        private final Set<EndpointStart> mCleared = new HashSet<>();
        private long mExpiresMilliseconds;
    }
}
