package org.foxtailridge.membership.lease;

import java.util.Objects;
import java.util.OptionalLong;
import org.foxtailridge.core.name.NodeName;

/**
 * The lease of one duty as the log records it, held by any node and possibly expired.
 *
 * @param duty name of the duty
 * @param node node that holds it
 * @param incarnation milliseconds since the epoch at which the holder's process started
 * @param fencing offset of the record that acquired it
 * @param renewedMs log time, in milliseconds since the epoch, of the last acquisition or renewal
 * @param durationMs milliseconds for which the lease is valid from then on
 * @param certain whether the reader has read enough of the log to be sure of the holder
 * @param formerFencing fencing number of the previous lease of the duty; {@link #UNKNOWN_FENCING}
 *     when there may have been one in records that the reader has not read; empty when there was
 *     none
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
    /** Value of {@code formerFencing} when the previous lease is not known. */
    public static final long UNKNOWN_FENCING = -1;

    /** Rejects null components. */
    public Lease {
        Objects.requireNonNull(duty, "duty");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(formerFencing, "formerFencing");
    }
}
