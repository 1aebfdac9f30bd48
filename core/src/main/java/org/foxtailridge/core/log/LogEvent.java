package org.foxtailridge.core.log;

import java.util.Objects;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.MapMessage;

/**
 * One line of the log: what happened, and the inputs that decided it.
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

    /** Returns a line of the given event. */
    public static LogEvent named(String event) {
        return new LogEvent(Objects.requireNonNull(event, "event"));
    }

    /** Adds a field whose value is written as text. */
    public LogEvent text(String key, Object value) {
        with(key, String.valueOf(value));
        return this;
    }

    /** Adds a whole number. */
    public LogEvent number(String key, long value) {
        with(key, value);
        return this;
    }

    /** Writes the line at level info. */
    public void writeTo(Logger logger) {
        logger.info(this);
    }

    /** Writes the line at a level. */
    public void writeTo(Logger logger, Level level) {
        logger.log(level, this);
    }
}
