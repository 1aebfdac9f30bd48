package org.foxtailridge.membership.lease;

import java.util.Objects;

/**
 * One operation on the lease of a duty.
 *
 * @param action what it does
 * @param duty name of the duty
 * @param fencing fencing number of the lease that is renewed or released; -1 when it is acquired
 * @param durationMs milliseconds for which the lease lasts; 0 when it is released
 */
record LeaseOperation(LeaseAction action, String duty, long fencing, long durationMs) {
    static final long NO_FENCING = -1;

    LeaseOperation {
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(duty, "duty");
    }

    static LeaseOperation acquire(String duty, long durationMs) {
        return new LeaseOperation(LeaseAction.ACQUIRE, duty, NO_FENCING, durationMs);
    }

    static LeaseOperation renew(String duty, long fencing, long durationMs) {
        return new LeaseOperation(LeaseAction.RENEW, duty, fencing, durationMs);
    }

    static LeaseOperation release(String duty, long fencing) {
        return new LeaseOperation(LeaseAction.RELEASE, duty, fencing, 0);
    }
}
