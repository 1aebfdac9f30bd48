package org.foxtailridge.execution.quarantine;

import java.util.Map;
import org.foxtailridge.protocol.quarantine.Permission;
import org.foxtailridge.protocol.quarantine.RunAsk;

/** What a node does for the fingerprints whose home it is. */
final class HomeDuty {
    private static final long NEVER_CHANGED = Long.MIN_VALUE / 2;

    private final QuarantineSettings mSettings;
    private final PermissionRule mRule;
    private final SuspectList mSuspects;
    private final HarmlessList mHarmless;
    private final RunLedger mLedger;
    private long mChangedMilliseconds = NEVER_CHANGED;

    HomeDuty(
            QuarantineSettings settings,
            PermissionRule rule,
            SuspectList suspects,
            HarmlessList harmless) {
        mHarmless = harmless;
        mSettings = settings;
        mRule = rule;
        mSuspects = suspects;
        mLedger = new RunLedger(settings);
    }

    /** Decides on an attempt; the same ask again has the same answer while the attempt runs. */
    Permission decide(String node, RunAsk ask, long now) {
        Fingerprint fingerprint = new Fingerprint(ask.getFingerprint());
        if (ask.getHeld()) {
            mLedger.add(fingerprint, ask.getRunId(), node, false, now);
            return Permission.RUN;
        }
        if (mLedger.holds(ask.getRunId())) {
            return permissionOf(ask.getRunId());
        }
        int losses = mSuspects.losses(fingerprint, now);
        if (losses == 0 && !ask.getDoubtful() && mHarmless.contains(fingerprint, now)) {
            return Permission.RUN;
        }
        boolean settling = now - mChangedMilliseconds < mSettings.settleMilliseconds();
        if (mLedger.isFull() || (losses > 0 && settling)) {
            return losses >= PermissionRule.LARGEST_LOSS_ENDPOINTS
                    ? Permission.REFUSE
                    : Permission.WAIT;
        }
        Permission permission =
                mRule.decide(losses, mLedger.running(fingerprint), ask.getDoubtful());
        if (permission == Permission.RUN || permission == Permission.RUN_ISOLATED) {
            boolean isolated = permission == Permission.RUN_ISOLATED;
            mLedger.add(fingerprint, ask.getRunId(), node, isolated, now);
        }
        return permission;
    }

    /** Returns the nodes of a request's attempts in flight, by attempt. */
    Map<String, String> holders(Fingerprint fingerprint) {
        return mLedger.holders(fingerprint);
    }

    Permission permissionOf(String runId) {
        return mLedger.isIsolated(runId) ? Permission.RUN_ISOLATED : Permission.RUN;
    }

    void ended(String runId) {
        mLedger.remove(runId);
    }

    void nodesChanged(long now) {
        mChangedMilliseconds = now;
    }

    void expire(long now) {
        mLedger.expire(now);
    }
}
