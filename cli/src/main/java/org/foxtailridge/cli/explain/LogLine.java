package org.foxtailridge.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * One line that a node wrote. Immutable.
 *
 * @param source which node wrote it: what stands before the JSON, or the file's name
 * @param timeMilliseconds when, in milliseconds since the epoch
 * @param event what happened
 * @param fields everything that the line says of it
 */
record LogLine(String source, long timeMilliseconds, String event, JsonNode fields) {
    /** Checks that no part is missing. */
    LogLine {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(event, "event");
        Objects.requireNonNull(fields, "fields");
    }

    /** Returns a field as text; empty text when the line has no such field. */
    String text(String field) {
        return fields.path(field).asText("");
    }

    /** Returns a field as a whole number; 0 when the line has no such field. */
    long number(String field) {
        return fields.path(field).asLong(0);
    }

    /** Returns whether a field has the given text. */
    boolean has(String field, String text) {
        return text(field).equals(text);
    }
}
