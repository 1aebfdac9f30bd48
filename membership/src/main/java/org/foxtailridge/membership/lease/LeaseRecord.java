package org.foxtailridge.membership.lease;

import java.util.List;
import java.util.Objects;

/**
 * One record of the stream {@code leases}: the operations of one node in one period.
 *
 * @param format format of the record
 * @param type always {@code leases}
 * @param id unique identifier
 * @param node name of the node
 * @param incarnation milliseconds since the epoch at which its process started
 * @param notAfterMs time of the log, in milliseconds, after which acquisitions in it don't count
 * @param operations operations, each on another duty; none in a record that only asks for the log's
 *     time
 */
record LeaseRecord(
        int format,
        String type,
        String id,
        String node,
        long incarnation,
        long notAfterMs,
        List<LeaseOperation> operations) {
    static final int FORMAT = 1;
    static final String TYPE = "leases";

    LeaseRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(node, "node");
        operations = List.copyOf(operations);
    }
}
