package org.foxtailridge.clients.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import org.foxtailridge.core.json.Json;

/**
 * Refusal of an engine.
 *
 * @param reason word that the engine gave
 * @param notStarted whether the engine said that it has not begun and won't
 */
record EngineRefusal(String reason, boolean notStarted) {
    private static final String UNKNOWN_REASON = "unknown";

    /** Reads a refusal; a body that can't be read gives no word that nothing started. */
    static EngineRefusal parse(String body) {
        try {
            JsonNode root = Json.read(body, JsonNode.class);
            JsonNode started = root.path("started");
            String reason = root.path("error").path("reason").asText(UNKNOWN_REASON);
            return new EngineRefusal(reason, started.isBoolean() && !started.booleanValue());
        } catch (UncheckedIOException unreadable) {
            return new EngineRefusal(UNKNOWN_REASON, false);
        }
    }
}
