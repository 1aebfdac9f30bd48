package org.foxtailridge.core.log;

import java.util.Objects;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.MapMessage;

/**
 * Structured log event: the name of what happened, and fields with the values that explain it.
 *
 * <pre>{@code
 * LogEvent.named("request_refused")
 *         .text("request", requestId)
 *         .text("kind", "rate_exceeded")
 *         .number("grant_age_ms", age)
 *         .writeTo(LOGGER);
 * }</pre>
 */
public final class LogEvent extends MapMessage<LogEvent, Object> {
    private static final long serialVersionUID = 1;

    private LogEvent(String event) {
        with("event", event);
    }

    /** Returns an event without further fields. */
    public static LogEvent named(String event) {
        return new LogEvent(Objects.requireNonNull(event, "event"));
    }

    /** Adds a field with the text of a value; {@code null} is written as {@code "null"}. */
    public LogEvent text(String key, Object value) {
        with(key, String.valueOf(value));
        return this;
    }

    /** Adds an integer field. */
    public LogEvent number(String key, long value) {
        with(key, value);
        return this;
    }

    /** Writes the event at level INFO. */
    public void writeTo(Logger logger) {
        logger.info(this);
    }

    /** Writes the event at the given level. */
    public void writeTo(Logger logger, Level level) {
        logger.log(level, this);
    }
}
