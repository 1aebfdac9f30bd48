package org.foxtailridge.endtoend.harness;

import java.util.ArrayList;
import java.util.List;

/**
 * What a caller received of a stream.
 *
 * @param status HTTP status; 0 if no head came
 * @param complete whether the framing of the answer says that nothing is missing
 * @param body bytes of the body
 * @param end how the connection ended
 */
public record ReceivedStream(int status, boolean complete, String body, String end) {
    private static final String EVENT_END = "\n\n";

    /** Returns the events that arrived whole; comments are no events. */
    public List<String> events() {
        List<String> events = new ArrayList<>();
        int from = 0;
        for (int end = body.indexOf(EVENT_END); end >= 0; end = body.indexOf(EVENT_END, from)) {
            String event = body.substring(from, end + EVENT_END.length());
            if (!event.startsWith(":")) {
                events.add(event);
            }
            from = end + EVENT_END.length();
        }
        return events;
    }

    /** Returns the bytes behind the last whole event. */
    public String rest() {
        int end = body.lastIndexOf(EVENT_END);
        return end < 0 ? body : body.substring(end + EVENT_END.length());
    }
}
