package org.foxtailridge.forwarding.front;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Clock;
import java.util.Objects;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.forwarding.request.RequestMetadata;

/**
 * Log and metrics of callers' requests.
 *
 * <p>At most a configured number of accepted requests per second is logged, each with all of its
 * lines; the others are only counted. The limit does not apply to refusals. Confined to one thread.
 */
public final class RequestLog {
    private static final Logger LOGGER = LogManager.getLogger(RequestLog.class);
    private static final long WINDOW_MILLISECONDS = 1_000;

    private final Clock mClock;
    private final MeterRegistry mMeters;
    private final LongSupplier mConfigurationVersion;
    private final IntSupplier mRequestsPerSecond;
    private final Counter mNotLogged;
    private final Timer mFirstByte;
    private final Timer mComplete;
    private final Timer mQueued;
    private long mWindow;
    private int mRequestsInWindow;

    /**
     * Creates a log.
     *
     * @param clock clock of the node
     * @param meters registry of the metrics
     * @param configurationVersion supplies the version of the configuration in force
     * @param requestsPerSecond supplies the current limit of logged requests per second
     */
    public RequestLog(
            Clock clock,
            MeterRegistry meters,
            LongSupplier configurationVersion,
            IntSupplier requestsPerSecond) {
        mClock = Objects.requireNonNull(clock, "clock");
        mMeters = Objects.requireNonNull(meters, "meters");
        mConfigurationVersion = Objects.requireNonNull(configurationVersion, "version");
        mRequestsPerSecond = Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
        mNotLogged = meters.counter("foxtailridge_requests_not_logged");
        mFirstByte = timer("foxtailridge_first_byte");
        mComplete = timer("foxtailridge_answer");
        mQueued = timer("foxtailridge_queued");
    }

    private Timer timer(String name) {
        return Timer.builder(name).publishPercentileHistogram(false).register(mMeters);
    }

    /** Returns the logger of a new request, disabled if the limit of this second is reached. */
    RequestLines lines() {
        return new RequestLines(this, mClock, isWithinLimit());
    }

    MeterRegistry meters() {
        return mMeters;
    }

    Timer firstByte() {
        return mFirstByte;
    }

    Timer complete() {
        return mComplete;
    }

    Timer queued() {
        return mQueued;
    }

    long configurationVersion() {
        return mConfigurationVersion.getAsLong();
    }

    private boolean isWithinLimit() {
        long window = mClock.millis() / WINDOW_MILLISECONDS;
        if (window != mWindow) {
            mWindow = window;
            mRequestsInWindow = 0;
        }
        mRequestsInWindow++;
        boolean withinLimit = mRequestsInWindow <= mRequestsPerSecond.getAsInt();
        if (!withinLimit) {
            mNotLogged.increment();
        }
        return withinLimit;
    }

    /** Logs and counts a request refused before it was accepted. */
    void refused(RequestMetadata metadata, ErrorKind kind, String reason) {
        count(kind);
        LogEvent.named("request_refused")
                .text("request", metadata.requestId())
                .text("kind", kind.wireName())
                .text("reason", reason)
                .text("host", metadata.host())
                .text("path", metadata.target())
                .number("configuration", mConfigurationVersion.getAsLong())
                .writeTo(LOGGER);
    }

    /** Logs and counts input of a caller that is not a valid request. */
    void refusedMalformed(ErrorKind kind, String reason) {
        count(kind);
        LogEvent.named("bytes_refused")
                .text("kind", kind.wireName())
                .text("reason", reason)
                .writeTo(LOGGER);
    }

    void count(ErrorKind kind) {
        mMeters.counter("foxtailridge_failures", "kind", kind.wireName()).increment();
    }
}
