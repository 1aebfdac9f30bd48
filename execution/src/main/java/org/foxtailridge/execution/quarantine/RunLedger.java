package org.foxtailridge.execution.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Attempts in flight of requests whose home node this is, bounded and expiring. */
final class RunLedger {
    private final QuarantineSettings mSettings;
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<Fingerprint, Set<String>> mByFingerprint = new HashMap<>();

    RunLedger(QuarantineSettings settings) {
        mSettings = settings;
    }

    boolean holds(String runId) {
        return mRuns.containsKey(runId);
    }

    boolean isIsolated(String runId) {
        return mRuns.get(runId).mIsolated;
    }

    boolean isFull() {
        return mRuns.size() >= mSettings.maximumRuns();
    }

    int running(Fingerprint fingerprint) {
        return mByFingerprint.getOrDefault(fingerprint, Set.of()).size();
    }

    /** Returns the nodes of a request's attempts in flight, by attempt. */
    Map<String, String> holders(Fingerprint fingerprint) {
        Map<String, String> holders = new LinkedHashMap<>();
        for (String runId : mByFingerprint.getOrDefault(fingerprint, Set.of())) {
            holders.put(runId, mRuns.get(runId).mNode);
        }
        return holders;
    }

    void add(Fingerprint fingerprint, String runId, String node, boolean isolated, long now) {
        if (!holds(runId)) {
            long expires = now + mSettings.runMilliseconds();
            mRuns.put(runId, new Run(fingerprint, node, isolated, expires));
            mByFingerprint.computeIfAbsent(fingerprint, unused -> new HashSet<>()).add(runId);
        }
    }

    void remove(String runId) {
        Run run = mRuns.remove(runId);
        if (run == null) {
            return;
        }
        Set<String> runs = mByFingerprint.get(run.mFingerprint);
        runs.remove(runId);
        if (runs.isEmpty()) {
            mByFingerprint.remove(run.mFingerprint);
        }
    }

    void expire(long now) {
        while (!mRuns.isEmpty()) {
            Map.Entry<String, Run> oldest = mRuns.entrySet().iterator().next();
            if (oldest.getValue().mExpiresMilliseconds > now) {
                return;
            }
            remove(oldest.getKey());
        }
    }

    private static final class Run {
        private final Fingerprint mFingerprint;
        private final String mNode;
        private final boolean mIsolated;
        private final long mExpiresMilliseconds;

        private Run(
                Fingerprint fingerprint, String node, boolean isolated, long expiresMilliseconds) {
            mFingerprint = fingerprint;
            mNode = node;
            mIsolated = isolated;
            mExpiresMilliseconds = expiresMilliseconds;
        }
    }
}
