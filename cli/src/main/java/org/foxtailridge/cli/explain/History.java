package org.foxtailridge.cli.explain;

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
record History(String subject, List<LogLine> lines, Cause cause, int unreadableLines) {
    private static final List<String> SHOWN_APART = List.of("event", "request", "run");

    static History of(Subject subject, List<LogLine> lines, Optional<Cause> cause, int unreadable) {
        return new History(subject.description(), lines, cause.orElse(null), unreadable);
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
        for (LogLine line : lines) {
            text.append(textOf(line, first)).append('\n');
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

    private static String textOf(LogLine line, long firstMilliseconds) {
        Iterable<String> names = line.fields()::fieldNames;
        String said =
                StreamSupport.stream(names.spliterator(), false)
                        .filter(name -> !SHOWN_APART.contains(name))
                        .map(name -> name + "=" + line.text(name))
                        .collect(Collectors.joining(" "));
        long after = line.timeMilliseconds() - firstMilliseconds;
        return String.format("%+8d ms  %-24s %-22s %s", after, line.source(), line.event(), said);
    }
}
