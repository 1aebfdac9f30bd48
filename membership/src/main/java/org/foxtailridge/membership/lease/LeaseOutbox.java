package org.foxtailridge.membership.lease;

import java.time.Duration;

/** What leases ask the node to do with the stream {@code leases}. */
public interface LeaseOutbox {
    /**
     * Appends a record; the answer goes to {@link LeaseManager#onAppended} or {@link
     * LeaseManager#onAppendFailed}.
     *
     * @param request number that the answer repeats
     * @param payload payload of the record
     */
    void append(long request, String payload);

    /**
     * Reads records; the answer goes to {@link LeaseManager#onRead} or {@link
     * LeaseManager#onReadFailed}.
     *
     * @param request number that the answer repeats
     * @param from offset of the first record wanted
     * @param limit largest number of records wanted
     * @param waitTime time that the log may wait for a record
     */
    void read(long request, long from, int limit, Duration waitTime);
}
