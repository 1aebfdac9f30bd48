package org.foxtailridge.execution.crash;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.foxtailridge.execution.quarantine.Fingerprint;

/** Crashes of endpoints by request, bounded. The oldest requests are dropped first. */
final class SuspectRequests {
    /** Endpoints that a request may crash before it is held back; of the rules of the platform. */
    static final int MOST_CRASHES = 3;

    /** Time for which a request is held back after its third crash, in milliseconds; chosen. */
    static final long HOLD_MILLISECONDS = 60_000;

    // How much longer a request is remembered than it is held back; chosen.
    private static final int REMEMBERED_FACTOR = 10;
    // Ten doublings are 17 hours, longer than anyone repeats a request.
    private static final int MOST_DOUBLINGS = 10;
    // An endpoint comes back after some seconds; two reports sooner mean the same crash.
    private static final long SAME_CRASH_MILLISECONDS = 1_500;
    // About 300 bytes each.
    private static final int MOST_REQUESTS = 4_096;

    private final Map<Fingerprint, Suspect> mSuspects = new LinkedHashMap<>();

    boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    /** Adds a crash; returns whether it was not known. */
    boolean add(Fingerprint fingerprint, String endpoint, long now) {
        Suspect suspect = mSuspects.computeIfAbsent(fingerprint, unused -> new Suspect());
        Long former = suspect.mByEndpoint.put(endpoint, now);
        boolean isNew = former == null || now - former >= SAME_CRASH_MILLISECONDS;
        if (isNew) {
            suspect.mCrashes++;
            suspect.mLastMilliseconds = now;
        }
        if (mSuspects.size() > MOST_REQUESTS) {
            mSuspects.remove(mSuspects.keySet().iterator().next());
        }
        return isNew;
    }

    /** Forgets a request; returns whether it was known. */
    boolean clear(Fingerprint fingerprint) {
        return mSuspects.remove(fingerprint) != null;
    }

    long heldBackMilliseconds(Fingerprint fingerprint, long now) {
        Suspect suspect = mSuspects.get(fingerprint);
        if (suspect == null || suspect.mCrashes < MOST_CRASHES) {
            return 0;
        }
        return Math.max(0, suspect.mLastMilliseconds + suspect.hold() - now);
    }

    void forgetOld(long now) {
        mSuspects
                .values()
                .removeIf(
                        suspect ->
                                now - suspect.mLastMilliseconds
                                        > REMEMBERED_FACTOR * suspect.hold());
    }

    private static final class Suspect {
        private final Map<String, Long> mByEndpoint = new HashMap<>();
        private int mCrashes;
        private long mLastMilliseconds;

        /** Every crash beyond the last one allowed doubles the time. */
        private long hold() {
            int beyond = Math.max(0, mCrashes - MOST_CRASHES);
            return HOLD_MILLISECONDS << Math.min(beyond, MOST_DOUBLINGS);
        }
    }
}
