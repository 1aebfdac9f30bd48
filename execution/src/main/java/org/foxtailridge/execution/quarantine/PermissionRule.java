package org.foxtailridge.execution.quarantine;

import org.foxtailridge.protocol.quarantine.Permission;

/** Decides whether one more attempt of a request may run. */
interface PermissionRule {
    /** Endpoints that one request may cost. */
    int LARGEST_LOSS_ENDPOINTS = 2;

    /** Counts every attempt in flight as an endpoint that may yet be lost. */
    PermissionRule COUNTING_RUNS =
            (losses, running, doubtful) -> {
                if (losses >= LARGEST_LOSS_ENDPOINTS) {
                    return Permission.REFUSE;
                }
                if (losses + running >= LARGEST_LOSS_ENDPOINTS) {
                    return Permission.WAIT;
                }
                return losses > 0 || doubtful ? Permission.RUN_ISOLATED : Permission.RUN;
            };

    /**
     * Returns the permission.
     *
     * @param losses endpoints lost to the request
     * @param running its attempts in flight on all nodes
     * @param doubtful whether an attempt has just failed for a reason not yet known
     */
    Permission decide(int losses, int running, boolean doubtful);
}
