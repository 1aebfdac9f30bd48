package org.foxtailridge.clients.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's append-only log service. */
public interface LogService {
    /**
     * Appends payloads to a stream; they get consecutive offsets and appear together or not at all.
     *
     * @return the first offset; fails with {@link AppendRefusedException} when the append has not
     *     taken effect and won't, and with {@link AppendUnresolvedException} when it may have
     */
    CompletableFuture<Long> append(String stream, List<String> payloads);

    /**
     * Reads records.
     *
     * @param stream name of the stream
     * @param from first offset wanted
     * @param limit largest number of records
     * @param wait time to wait for a record at or after {@code from}
     * @return a page that may be empty; fails with {@link LogUnavailableException}
     */
    CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait);
}
