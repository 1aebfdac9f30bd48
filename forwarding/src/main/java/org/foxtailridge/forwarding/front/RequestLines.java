package org.foxtailridge.forwarding.front;

import java.time.Clock;
import java.time.Duration;
import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.foxtailridge.forwarding.request.RequestListener;
import org.foxtailridge.forwarding.request.RequestPhase;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Logs the decisions about one request, one line for each, and updates the metrics.
 *
 * <p>Lines are omitted if the request exceeds the log's rate limit; metrics always count.
 */
final class RequestLines implements RequestListener {
    private static final Logger LOGGER = LogManager.getLogger(RequestLines.class);

    private final RequestLog mLog;
    private final Clock mClock;
    private final boolean mEnabled;

    RequestLines(RequestLog log, Clock clock, boolean enabled) {
        mLog = log;
        mClock = clock;
        mEnabled = enabled;
    }

    /** Logs and counts an accepted request. */
    void accepted(ResolvedRequest resolved) {
        mLog.meters().counter("foxtailridge_requests", "service", resolved.service()).increment();
        write(
                line("request_accepted", resolved)
                        .text("route", resolved.route().name())
                        .text("service", resolved.service())
                        .text("account", resolved.accountName())
                        .text("model", resolved.metadata().model().map(Object::toString).orElse(""))
                        .text("shared_parts", String.join(",", resolved.metadata().sharedParts()))
                        .number("tokens", resolved.countedTokens())
                        .number(
                                "time_ms",
                                resolved.deadlineMilliseconds() - resolved.arrivedMilliseconds())
                        .number("configuration", mLog.configurationVersion()));
    }

    /** Logs that the client account lacks the tokens that a request needs. */
    void tokensRefused(ResolvedRequest resolved, ErrorKind kind, long retryAfterMilliseconds) {
        write(
                line("tokens_refused", resolved)
                        .text("account", resolved.accountName())
                        .text("kind", kind.wireName())
                        .number("tokens", resolved.countedTokens())
                        .number("retry_after_ms", retryAfterMilliseconds));
    }

    /** Logs the endpoint that the queue chose, and records the time in the queue. */
    void chosen(
            ResolvedRequest resolved,
            EndpointName endpoint,
            double expectedMilliseconds,
            boolean mustLoadAdapter) {
        mLog.queued().record(Duration.ofMillis(ageMilliseconds(resolved)));
        write(
                line("endpoint_chosen", resolved)
                        .text("endpoint", endpoint)
                        .number("expected_ms", Math.round(expectedMilliseconds))
                        .text("adapter_loads_first", mustLoadAdapter));
    }

    /**
     * Logs the reason of a failed exchange as the connection reports it, and how many parts of the
     * answer had been forwarded.
     */
    void exchangeFailed(
            ResolvedRequest resolved, EndpointName endpoint, String reason, int answerParts) {
        write(
                line("exchange_failed", resolved)
                        .text("endpoint", endpoint)
                        .text("reason", reason)
                        .number("answer_parts", answerParts));
    }

    /**
     * Logs and counts how an endpoint's part of a stream ended.
     *
     * @param end {@code complete}, or why the part broke off
     */
    void streamAttemptEnded(
            ResolvedRequest resolved, EndpointName endpoint, StreamAttempt attempt, String end) {
        String framing = wireName(attempt.framing());
        mLog.meters()
                .counter(
                        "foxtailridge_stream_attempts",
                        "framing",
                        framing,
                        "resumed",
                        Boolean.toString(attempt.resumedAfter().isPresent()),
                        "in_order",
                        Boolean.toString(attempt.violation().isEmpty()))
                .increment();
        write(
                line("stream_attempt_ended", resolved)
                        .text("endpoint", endpoint)
                        .text("framing", framing)
                        .text("resumed_after", attempt.resumedAfter().orElse(""))
                        .text("last_event", attempt.lastEventId().orElse(""))
                        .text("violation", attempt.violation().orElse(""))
                        .text("end", end));
    }

    /** Records the time from arrival to the first forwarded part of the answer. */
    void firstPartForwarded(ResolvedRequest resolved) {
        mLog.firstByte().record(Duration.ofMillis(ageMilliseconds(resolved)));
    }

    @Override
    public void sent(ResolvedRequest resolved, EndpointName endpoint, int endpointsTried) {
        write(
                line("attempt_sent", resolved)
                        .text("endpoint", endpoint)
                        .number("endpoints_tried", endpointsTried)
                        .number("left_ms", resolved.deadlineMilliseconds() - mClock.millis()));
    }

    @Override
    public void attemptFailed(
            ResolvedRequest resolved,
            EndpointName endpoint,
            AttemptFailure failure,
            boolean willRetry) {
        mLog.meters()
                .counter("foxtailridge_attempts_failed", "failure", wireName(failure))
                .increment();
        write(
                line("attempt_failed", resolved)
                        .text("endpoint", endpoint)
                        .text("failure", wireName(failure))
                        .text("again", willRetry));
    }

    @Override
    public void answered(ResolvedRequest resolved, EndpointName endpoint) {
        mLog.meters().counter("foxtailridge_answers", "service", resolved.service()).increment();
        mLog.complete().record(Duration.ofMillis(ageMilliseconds(resolved)));
        write(line("request_answered", resolved).text("endpoint", endpoint));
    }

    @Override
    public void failed(
            ResolvedRequest resolved,
            RequestPhase phase,
            ErrorKind kind,
            boolean mayHaveRun,
            boolean hasBufferedAnswer) {
        mLog.count(kind);
        write(
                line("request_failed", resolved)
                        .text("phase", wireName(phase))
                        .text("kind", kind.wireName())
                        .text("may_have_run", mayHaveRun)
                        .text("endpoint_answer_passed", hasBufferedAnswer)
                        .number("configuration", mLog.configurationVersion()));
    }

    @Override
    public void callerLeft(ResolvedRequest resolved, RequestPhase phase) {
        mLog.meters().counter("foxtailridge_callers_left").increment();
        write(line("caller_left", resolved).text("phase", wireName(phase)));
    }

    private LogEvent line(String event, ResolvedRequest resolved) {
        return LogEvent.named(event)
                .text("request", resolved.metadata().requestId())
                .text("run", resolved.runId())
                .number("age_ms", ageMilliseconds(resolved));
    }

    private void write(LogEvent line) {
        if (mEnabled) {
            line.writeTo(LOGGER, Level.INFO);
        }
    }

    private long ageMilliseconds(ResolvedRequest resolved) {
        return mClock.millis() - resolved.arrivedMilliseconds();
    }

    private static String wireName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
