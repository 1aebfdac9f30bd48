package org.foxtailridge.cli.explain;

import java.util.List;
import java.util.Optional;

/** Finds the cause of a request's end in its lines and in what the nodes said around them. */
final class CauseRule {
    private static final long AROUND_MILLISECONDS = 8_000;

    private final List<LogLine> mAll;

    /** Creates a rule over the lines of all nodes, in the order of their times. */
    CauseRule(List<LogLine> all) {
        mAll = all;
    }

    /**
     * Returns the cause.
     *
     * @param request the lines of the request; one at least
     */
    Cause of(List<LogLine> request) {
        return find(request, "request_answered")
                .map(line -> answered(request, line))
                .or(() -> find(request, "request_refused").map(CauseRule::refused))
                .or(() -> find(request, "caller_left").map(line -> left(request, line)))
                .or(() -> find(request, "request_failed").map(line -> failed(request, line)))
                .orElseGet(() -> unended(request.get(request.size() - 1)));
    }

    private static Cause unended(LogLine last) {
        return new Cause(
                "unknown",
                "no line tells its end; the last one is " + last.event(),
                "node_stopped, or the start of that node after its last line");
    }

    private static Cause answered(List<LogLine> request, LogLine end) {
        long total = end.number("age_ms");
        long queued =
                find(request, "endpoint_chosen").map(line -> line.number("age_ms")).orElse(0L);
        String reason =
                "a whole answer of "
                        + end.text("endpoint")
                        + " after "
                        + total
                        + " ms, of which "
                        + queued
                        + " ms passed before an endpoint had room";
        String slow =
                queued > total / 2 ? "copies of the model" : "endpoint " + end.text("endpoint");
        return new Cause("answered", reason, "if it was late: " + slow);
    }

    private static Cause refused(LogLine line) {
        return new Cause(
                line.text("kind"),
                line.text("reason") + " under configuration " + line.number("configuration"),
                "configuration_in_force on that node at that time");
    }

    private static Cause left(List<LogLine> request, LogLine line) {
        return new Cause(
                "caller_left",
                "the caller left after "
                        + line.number("age_ms")
                        + " ms in phase "
                        + line.text("phase")
                        + find(request, "attempt_sent")
                                .map(sent -> ", sent to " + sent.text("endpoint"))
                                .orElse(", before an endpoint had room"),
                "");
    }

    private Cause failed(List<LogLine> request, LogLine line) {
        String ran = line.has("may_have_run", "true") ? "it may have run" : "it has not run";
        String reason =
                switch (line.text("kind")) {
                    case "rate_exceeded" -> rateExceeded(request);
                    case "no_endpoint" -> noEndpoint(request, line);
                    case "deadline_unreachable", "overloaded" -> crowded(request, line);
                    case "endpoint_failed", "answer_timeout" -> endpointFailed(request, line);
                    case "key_withdrawn", "key_refused" ->
                            "its key was withdrawn by configuration "
                                    + line.number("configuration");
                    default -> "in phase " + line.text("phase");
                };
        return new Cause(line.text("kind"), reason + "; " + ran, lookAt(request, line));
    }

    private static String rateExceeded(List<LogLine> request) {
        LogLine tokens = find(request, "tokens_refused").orElse(request.get(0));
        return "client account "
                + tokens.text("account")
                + " had no "
                + tokens.number("tokens")
                + " tokens left after "
                + tokens.number("age_ms")
                + " ms";
    }

    private String noEndpoint(List<LogLine> request, LogLine end) {
        if (find(request, "attempt_failed").isPresent()) {
            return "no other endpoint was left after " + attempts(request);
        }
        return "no endpoint with " + modelOf(request) + " was known" + lastOrder(request, end);
    }

    private String crowded(List<LogLine> request, LogLine end) {
        return "every endpoint with "
                + modelOf(request)
                + " was full for "
                + end.number("age_ms")
                + " ms"
                + lastOrder(request, end);
    }

    private static String endpointFailed(List<LogLine> request, LogLine end) {
        return attempts(request)
                + (end.has("endpoint_answer_passed", "true")
                        ? "; the endpoint's own failure was passed on"
                        : "");
    }

    private static String attempts(List<LogLine> request) {
        StringBuilder text = new StringBuilder();
        for (LogLine line : request) {
            if (line.event().equals("attempt_failed")) {
                text.append(text.isEmpty() ? "" : ", then ");
                text.append("the attempt at ").append(line.text("endpoint"));
                text.append(" failed (").append(line.text("failure")).append(')');
            }
        }
        return text.isEmpty() ? "no attempt ended" : text.toString();
    }

    /** Returns what was last ordered for the model of a request before it ended. */
    private String lastOrder(List<LogLine> request, LogLine end) {
        String model = modelName(request);
        if (model.isEmpty()) {
            return "";
        }
        ModelSubject subject = new ModelSubject(model);
        return subject.select(mAll).stream()
                .filter(line -> line.event().equals("order_answered"))
                .filter(line -> line.timeMilliseconds() <= end.timeMilliseconds())
                .filter(
                        line ->
                                end.timeMilliseconds() - line.timeMilliseconds()
                                        <= AROUND_MILLISECONDS)
                .reduce((former, latter) -> latter)
                .map(CauseRule::order)
                .orElse("");
    }

    private static String order(LogLine line) {
        return "; the last order about it: "
                + line.text("action")
                + " at "
                + line.text("endpoint")
                + ", "
                + line.text("answer");
    }

    private static String lookAt(List<LogLine> request, LogLine end) {
        return switch (end.text("kind")) {
            case "rate_exceeded" -> "explain --account, limit_changed, duty_lapsed";
            case "no_endpoint", "deadline_unreachable", "overloaded" ->
                    "explain --model " + modelName(request);
            case "endpoint_failed", "answer_timeout" ->
                    find(request, "attempt_sent")
                            .map(line -> "explain --endpoint " + line.text("endpoint"))
                            .orElse("");
            default -> "";
        };
    }

    private static String modelOf(List<LogLine> request) {
        String model = modelName(request);
        return model.isEmpty() ? "room" : "model " + model;
    }

    /** Returns the model that a request asks for, by the line that says so. */
    private static String modelName(List<LogLine> request) {
        String wanted =
                find(request, "request_accepted").map(line -> line.text("model")).orElse("");
        int start = wanted.indexOf("[model=");
        int end = wanted.indexOf(',', Math.max(0, start));
        return start < 0 || end < 0 ? "" : wanted.substring(start + "[model=".length(), end);
    }

    private static Optional<LogLine> find(List<LogLine> lines, String event) {
        return lines.stream()
                .filter(line -> line.event().equals(event))
                .reduce((former, latter) -> latter);
    }
}
