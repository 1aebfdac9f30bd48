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
 * Writes lines about requests, and counts what they say.
 *
 * <p>Lines of whole requests are left out when more come than a bound allows; how many were left
 * out is counted.
 */
public final class RequestLog {
    private static final Logger LOGGER = LogManager.getLogger(RequestLog.class);
    private static final long WINDOW_MILLISECONDS = 1_000;

    private final Clock mClock;
    private final MeterRegistry mMeters;
    private final LongSupplier mConfigurationVersion;
    private final IntSupplier mRequestsPerSecond;
    private final Counter mLeftOut;
    private final Timer mFirstByte;
    private final Timer mWhole;
    private final Timer mQueued;
    private long mWindowMilliseconds;
    private int mInWindow;

    /**
     * Creates a log.
     *
     * @param clock clock of the node
     * @param meters where decisions are counted
     * @param configurationVersion version of the configuration in force
     * @param requestsPerSecond requests a second whose lines are written, as settings say now
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
        mLeftOut = meters.counter("foxtailridge_requests_not_logged");
        mFirstByte = timer("foxtailridge_first_byte");
        mWhole = timer("foxtailridge_answer");
        mQueued = timer("foxtailridge_queued");
    }

    private Timer timer(String name) {
        return Timer.builder(name).publishPercentileHistogram(false).register(mMeters);
    }

    /** Returns the lines of a new request. */
    RequestLines lines() {
        return new RequestLines(this, mClock, sample());
    }

    MeterRegistry meters() {
        return mMeters;
    }

    Timer firstByte() {
        return mFirstByte;
    }

    Timer whole() {
        return mWhole;
    }

    Timer queued() {
        return mQueued;
    }

    long configurationVersion() {
        return mConfigurationVersion.getAsLong();
    }

    private boolean sample() {
        long window = mClock.millis() / WINDOW_MILLISECONDS;
        if (window != mWindowMilliseconds) {
            mWindowMilliseconds = window;
            mInWindow = 0;
        }
        mInWindow++;
        boolean written = mInWindow <= mRequestsPerSecond.getAsInt();
        if (!written) {
            mLeftOut.increment();
        }
        return written;
    }

    /** A request was refused before it had terms. */
    void refused(RequestMetadata facts, ErrorKind kind, String reason) {
        count(kind);
        LogEvent.named("request_refused")
                .text("request", facts.requestId())
                .text("kind", kind.wireName())
                .text("reason", reason)
                .text("host", facts.host())
                .text("path", facts.target())
                .number("configuration", mConfigurationVersion.getAsLong())
                .writeTo(LOGGER);
    }

    /** Bytes of a caller were refused before they were a request. */
    void refusedUnread(ErrorKind kind, String reason) {
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
