package org.foxtailridge.membership.lease;

import java.util.Objects;

/**
 * One operation on the lease of a duty.
 *
 * @param action kind of the operation
 * @param duty name of the duty
 * @param fencing fencing number of the lease that is renewed or released; {@link #NO_FENCING} for
 *     an acquisition, whose fencing number is the offset of its record
 * @param durationMs milliseconds for which the lease is valid; 0 for a release
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
