package org.foxtailridge.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/**
 * What the lines tell of a subject; printed as text or JSON.
 *
 * @param subject what it is about
 * @param lines its lines
 * @param cause why it ended as it did; null for subjects that do not end
 * @param unreadableLines lines of the input that are not a node's
 */
record History(String subject, List<Entry> lines, Cause cause, int unreadableLines) {
    private static final List<String> SHOWN_APART = List.of("event", "request", "run");

    static History of(Subject subject, List<LogLine> lines, Optional<Cause> cause, int unreadable) {
        List<Entry> entries =
                lines.stream()
                        .map(
                                line ->
                                        new Entry(
                                                line.timeMilliseconds(),
                                                line.source(),
                                                line.event(),
                                                line.fields()))
                        .toList();
        return new History(subject.description(), entries, cause.orElse(null), unreadable);
    }

    String toText() {
        StringBuilder text = new StringBuilder(subject).append('\n');
        if (lines.isEmpty()) {
            text.append(
                    "no line names it: its lines were left out when more came than a node writes"
                            + " (foxtailridge_requests_not_logged_total), or it came to another"
                            + " node\n");
            return text.toString();
        }
        long first = lines.get(0).timeMilliseconds();
        for (Entry entry : lines) {
            text.append(entry.toText(first)).append('\n');
        }
        text.append(causeText());
        return text.toString();
    }

    private String causeText() {
        if (cause == null) {
            return "";
        }
        String next = cause.lookAt().isEmpty() ? "" : "look at: " + cause.lookAt() + "\n";
        return "outcome: " + cause.outcome() + "\ncause: " + cause.reason() + "\n" + next;
    }

    /**
     * One line of a history.
     *
     * @param timeMilliseconds when, in milliseconds since the epoch
     * @param source which node wrote it
     * @param event what happened
     * @param fields everything that the line says of it
     */
    record Entry(long timeMilliseconds, String source, String event, JsonNode fields) {
        private String toText(long firstMilliseconds) {
            String said =
                    StreamSupport.stream(
                                    ((Iterable<String>) fields::fieldNames).spliterator(), false)
                            .filter(name -> !SHOWN_APART.contains(name))
                            .map(name -> name + "=" + fields.path(name).asText())
                            .collect(Collectors.joining(" "));
            long after = timeMilliseconds - firstMilliseconds;
            return String.format("%+8d ms  %-24s %-22s %s", after, source, event, said);
        }
    }
}
