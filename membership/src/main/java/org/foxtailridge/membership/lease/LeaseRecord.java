package org.foxtailridge.membership.lease;

import java.util.List;
import java.util.Objects;

/**
 * One record of the stream {@code leases}: the operations that one node appends together.
 *
 * @param format version of the format, {@link #FORMAT} or lower
 * @param type always {@link #TYPE}
 * @param id identifier of the record: name, incarnation and append number of the node
 * @param node name of the node that appended the record
 * @param incarnation milliseconds since the epoch at which its process started
 * @param notAfterMs log time, in milliseconds since the epoch, after which acquisitions in this
 *     record have no effect
 * @param operations operations, each on another duty; empty in a record that a node appends only to
 *     read the log time back
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
