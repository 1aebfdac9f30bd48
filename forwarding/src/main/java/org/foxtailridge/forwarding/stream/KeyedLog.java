package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Client of a log that stores keyed streams. Futures complete on the node's event loop, and fail
 * when the log does not answer. Cancelling the future of a read closes its connection.
 */
public interface KeyedLog {
    /**
     * Returns the newest record of each key.
     *
     * <p>The log is read in pages. Records that are appended meanwhile may be missing; reading from
     * the returned offset returns them.
     */
    CompletableFuture<KeyedBatch> newest(KeyedStream stream);

    /**
     * Returns the records from an offset on; fails with {@link RecordsDeletedException} when the
     * log has deleted them.
     *
     * @param stream stream to read
     * @param fromOffset offset of the first record to return
     * @param wait maximum time that the log waits for a record; with zero it answers at once
     */
    CompletableFuture<KeyedBatch> read(KeyedStream stream, long fromOffset, Duration wait);

    /**
     * Appends a record that sets or deletes a key. When the future fails, the record may still be
     * appended later, as only the answer may have been lost.
     */
    CompletableFuture<Void> put(KeyedStream stream, KeyedRecord entry);
}
