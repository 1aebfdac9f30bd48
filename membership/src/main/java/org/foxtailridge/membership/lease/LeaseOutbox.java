package org.foxtailridge.membership.lease;

import java.time.Duration;

/**
 * Log operations that a {@link LeaseManager} asks the node to carry out on the stream {@code
 * leases}. Calls return at once; the node passes the result to the manager on its thread.
 */
public interface LeaseOutbox {
    /**
     * Appends a record; the result goes to {@link LeaseManager#onAppended} or {@link
     * LeaseManager#onAppendFailed}.
     *
     * @param request number to pass on with the result
     * @param payload JSON text of the record
     */
    void append(long request, String payload);

    /**
     * Reads records; the result goes to {@link LeaseManager#onRead} or {@link
     * LeaseManager#onReadFailed}.
     *
     * @param request number to pass on with the result
     * @param from offset of the first record to read
     * @param limit maximum number of records
     * @param waitTime maximum time that the log waits for a record at the end of the stream
     */
    void read(long request, long from, int limit, Duration waitTime);
}
