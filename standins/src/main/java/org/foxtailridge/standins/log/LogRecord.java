package org.foxtailridge.standins.log;

/**
 * One record of a stream.
 *
 * @param offset offset in its stream
 * @param timeMs instant of the append, in milliseconds since the epoch
 * @param payload the payload as appended
 */
public record LogRecord(long offset, long timeMs, String payload) {}
