package org.foxtailridge.clients.log;

/**
 * One record.
 *
 * @param offset position in the stream
 * @param timeMs time of the append by the log's clock, in milliseconds since the epoch
 * @param payload JSON text
 */
public record LogRecord(long offset, long timeMs, String payload) {}
