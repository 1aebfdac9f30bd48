package org.foxtailridge.membership.lease;

import java.util.Objects;
import java.util.OptionalLong;
import org.foxtailridge.core.name.NodeName;

/**
 * The lease of one duty as the log shows it.
 *
 * @param duty name of the duty
 * @param node node that holds it
 * @param incarnation milliseconds since the epoch at which the holder's process started
 * @param fencing offset of the record that acquired it
 * @param renewedMs time of the log, in milliseconds, at which it was last acquired or renewed
 * @param durationMs milliseconds for which it lasts from then on
 * @param certain whether the reader has seen enough of the log to be sure of the holder
 * @param formerFencing fencing number of the lease before this one; {@link #UNKNOWN_FENCING} when
 *     there may have been one that the reader did not see; empty when there was none ever
 */
public record Lease(
        String duty,
        NodeName node,
        long incarnation,
        long fencing,
        long renewedMs,
        long durationMs,
        boolean certain,
        OptionalLong formerFencing) {
    /** Stands for a former lease whose fencing number is not known. */
    public static final long UNKNOWN_FENCING = -1;

    /** Checks that no part is missing. */
    public Lease {
        Objects.requireNonNull(duty, "duty");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(formerFencing, "formerFencing");
    }
}
