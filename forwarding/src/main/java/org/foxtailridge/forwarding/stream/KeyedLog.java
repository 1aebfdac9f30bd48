package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A log whose streams hold keyed records. Futures complete on the thread that drives the node. */
public interface KeyedLog {
    /**
     * Returns the newest record of each key.
     *
     * <p>Records that come while pages are read may be missing; reading from the offset returned
     * brings them.
     */
    CompletableFuture<KeyedBatch> newest(KeyedStream stream);

    /**
     * Returns the records from an offset on; fails with {@link RecordsDeletedException} when they
     * are gone.
     *
     * @param stream stream to read
     * @param fromOffset offset of the first record wanted
     * @param wait longest time to wait for a record; zero answers at once
     */
    CompletableFuture<KeyedBatch> read(KeyedStream stream, long fromOffset, Duration wait);

    /** Sets the value of a key. An append whose answer is lost may still be done later. */
    CompletableFuture<Void> put(KeyedStream stream, KeyedRecord entry);
}
