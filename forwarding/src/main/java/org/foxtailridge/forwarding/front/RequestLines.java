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

/** The lines of one request: one for each decision about it. */
final class RequestLines implements RequestListener {
    private static final Logger LOGGER = LogManager.getLogger(RequestLines.class);

    private final RequestLog mLog;
    private final Clock mClock;
    private final boolean mWritten;

    RequestLines(RequestLog log, Clock clock, boolean written) {
        mLog = log;
        mClock = clock;
        mWritten = written;
    }

    /** A request has come and its terms are known. */
    void accepted(ResolvedRequest terms) {
        mLog.meters().counter("foxtailridge_requests", "service", terms.service()).increment();
        write(
                line("request_accepted", terms)
                        .text("route", terms.route().name())
                        .text("service", terms.service())
                        .text("account", terms.accountName())
                        .text("model", terms.metadata().model().map(Object::toString).orElse(""))
                        .number("tokens", terms.countedTokens())
                        .number(
                                "time_ms",
                                terms.deadlineMilliseconds() - terms.arrivedMilliseconds())
                        .number("configuration", mLog.configurationVersion()));
    }

    /** The client account does not have the tokens that a request needs. */
    void tokensRefused(ResolvedRequest terms, ErrorKind kind, long retryAfterMilliseconds) {
        write(
                line("tokens_refused", terms)
                        .text("account", terms.accountName())
                        .text("kind", kind.wireName())
                        .number("tokens", terms.countedTokens())
                        .number("retry_after_ms", retryAfterMilliseconds));
    }

    /** An endpoint was chosen for a request. */
    void chosen(
            ResolvedRequest terms, EndpointName endpoint, double expectedMs, boolean unprepared) {
        mLog.queued().record(Duration.ofMillis(age(terms)));
        write(
                line("endpoint_chosen", terms)
                        .text("endpoint", endpoint)
                        .number("expected_ms", Math.round(expectedMs))
                        .text("adapter_loads_first", unprepared));
    }

    /** Why an attempt failed, as the connection tells it. */
    void exchangeFailed(ResolvedRequest terms, EndpointName endpoint, String reason) {
        write(line("exchange_failed", terms).text("endpoint", endpoint).text("reason", reason));
    }

    /** The first part of an answer has reached the caller. */
    void firstPassed(ResolvedRequest terms) {
        mLog.firstByte().record(Duration.ofMillis(age(terms)));
    }

    @Override
    public void sent(ResolvedRequest terms, EndpointName endpoint, int endpointsTried) {
        write(
                line("attempt_sent", terms)
                        .text("endpoint", endpoint)
                        .number("endpoints_tried", endpointsTried)
                        .number("left_ms", terms.deadlineMilliseconds() - mClock.millis()));
    }

    @Override
    public void attemptFailed(
            ResolvedRequest terms, EndpointName endpoint, AttemptFailure failure, boolean again) {
        mLog.meters().counter("foxtailridge_attempts_failed", "failure", word(failure)).increment();
        write(
                line("attempt_failed", terms)
                        .text("endpoint", endpoint)
                        .text("failure", word(failure))
                        .text("again", again));
    }

    @Override
    public void answered(ResolvedRequest terms, EndpointName endpoint) {
        mLog.meters().counter("foxtailridge_answers", "service", terms.service()).increment();
        mLog.whole().record(Duration.ofMillis(age(terms)));
        write(line("request_answered", terms).text("endpoint", endpoint));
    }

    @Override
    public void failed(
            ResolvedRequest terms,
            RequestPhase phase,
            ErrorKind kind,
            boolean mayHaveRun,
            boolean keptAnswer) {
        mLog.count(kind);
        write(
                line("request_failed", terms)
                        .text("phase", word(phase))
                        .text("kind", kind.wireName())
                        .text("may_have_run", mayHaveRun)
                        .text("endpoint_answer_passed", keptAnswer)
                        .number("configuration", mLog.configurationVersion()));
    }

    @Override
    public void callerLeft(ResolvedRequest terms, RequestPhase phase) {
        mLog.meters().counter("foxtailridge_callers_left").increment();
        write(line("caller_left", terms).text("phase", word(phase)));
    }

    private LogEvent line(String event, ResolvedRequest terms) {
        return LogEvent.named(event)
                .text("request", terms.metadata().requestId())
                .text("run", terms.runId())
                .number("age_ms", age(terms));
    }

    private void write(LogEvent line) {
        if (mWritten) {
            line.writeTo(LOGGER, Level.INFO);
        }
    }

    private long age(ResolvedRequest terms) {
        return mClock.millis() - terms.arrivedMilliseconds();
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
