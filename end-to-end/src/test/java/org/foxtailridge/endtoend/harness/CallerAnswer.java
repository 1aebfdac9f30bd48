package org.foxtailridge.endtoend.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.foxtailridge.core.json.Json;

/**
 * Answer to a caller.
 *
 * @param status HTTP status
 * @param headers headers
 * @param body body
 */
public record CallerAnswer(int status, Map<String, List<String>> headers, String body) {
    private static final String DATA = "data: ";

    /** Returns an answer that has come whole. */
    static CallerAnswer of(HttpResponse<String> response) {
        return new CallerAnswer(response.statusCode(), response.headers().map(), response.body());
    }

    /** Returns the body as JSON. */
    public JsonNode json() {
        return Json.read(body, JsonNode.class);
    }

    /** Returns the kind of the error that the body tells. */
    public String errorKind() {
        return json().path("error").path("kind").asText();
    }

    /** Returns what the body says of whether the request ran. */
    public String ran() {
        return json().path("error").path("ran").asText();
    }

    /** Returns the text of a whole completion. */
    public String text() {
        return json().path("choices").path(0).path("text").asText();
    }

    /** Returns the data of each server-sent event. */
    public List<String> events() {
        List<String> events = new ArrayList<>();
        for (String line : body.split("\n")) {
            if (line.startsWith(DATA)) {
                events.add(line.substring(DATA.length()));
            }
        }
        return events;
    }

    /** Returns the joined text of a streamed completion. */
    public String streamedText() {
        StringBuilder text = new StringBuilder();
        for (String event : events()) {
            if (event.startsWith("{")) {
                JsonNode choice = Json.read(event, JsonNode.class).path("choices").path(0);
                text.append(choice.path("text").asText());
            }
        }
        return text.toString();
    }
}
