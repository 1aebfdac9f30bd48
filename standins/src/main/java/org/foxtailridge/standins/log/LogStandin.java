package org.foxtailridge.standins.log;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.RateBucket;
import org.foxtailridge.standins.server.Refusal;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.time.ThreadEventLoop;

/**
 * Stand-in of the append-only log service.
 *
 * <pre>{@code
 * try (LogStandin log = LogStandin.builder().retainedRecords(1_000).start()) {
 *     log.address(); // http://127.0.0.1:PORT
 * }
 * }</pre>
 */
public final class LogStandin implements AutoCloseable {
    private static final Pattern RECORDS_PATH =
            Pattern.compile("/streams/([A-Za-z0-9_-]{1,64})/records");
    private static final int MAXIMUM_APPEND_BYTES = 1 << 20;
    private static final int MAXIMUM_STREAMS = 64;
    private static final int DEFAULT_READ_LIMIT = 1_000;
    private static final long MAXIMUM_READ_LIMIT = 10_000;
    private static final long MAXIMUM_WAIT_MILLISECONDS = 10_000;

    private final Builder mSettings;
    private final EventLoop mLoop;
    private final RateBucket mAppendRate;
    private final Map<String, LogStream> mStreams = new LinkedHashMap<>();
    private final List<Waiter> mWaiters = new ArrayList<>();
    private final StandinServer mServer;
    private LogFaults mFaults = LogFaults.none();
    private int mAnswersToLose;

    private LogStandin(Builder settings) {
        mSettings = settings;
        mLoop = settings.mLoop == null ? ThreadEventLoop.start("log-standin") : settings.mLoop;
        mAppendRate = new RateBucket(mLoop.clock(), settings.mAppendsPerSecond);
        mServer = StandinServer.start("log-standin-http", settings.mPort, mLoop, this::route);
    }

    /** Returns a builder with the settings of a small site. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the base address. */
    public URI address() {
        return mServer.address();
    }

    /** Sets all fault switches; those absent from the argument are switched off. */
    public void setFaults(LogFaults faults) {
        mLoop.execute(() -> applyFaults(faults));
    }

    @Override
    public void close() {
        mServer.close();
        mLoop.close();
    }

    private void route(Exchange exchange) {
        if (exchange.path().equals("/faults") && exchange.method().equals("POST")) {
            LogFaults faults = exchange.body(LogFaults.class);
            mLoop.execute(
                    () -> {
                        applyFaults(faults);
                        exchange.answer(204);
                    });
            return;
        }
        Matcher path = RECORDS_PATH.matcher(exchange.path());
        if (!path.matches()) {
            exchange.answer(404, Refusal.notStarted("unknown_path"));
        } else if (exchange.method().equals("POST")) {
            append(exchange, path.group(1));
        } else if (exchange.method().equals("GET")) {
            read(exchange, path.group(1));
        } else {
            exchange.answer(405, Refusal.notStarted("method_not_allowed"));
        }
    }

    private void append(Exchange exchange, String stream) {
        if (exchange.body().length > MAXIMUM_APPEND_BYTES) {
            exchange.answer(413, Refusal.notStarted("too_large"));
            return;
        }
        LogMessages.Append append = exchange.body(LogMessages.Append.class);
        boolean empty = append.payloads() == null || append.payloads().isEmpty();
        if (empty || append.payloads().stream().anyMatch(Objects::isNull)) {
            exchange.answer(400, Refusal.notStarted("no_payloads"));
            return;
        }
        mLoop.execute(() -> appendNow(exchange, stream, append));
    }

    private void appendNow(Exchange exchange, String stream, LogMessages.Append append) {
        if (mFaults.outage()) {
            answerOutage(exchange);
            return;
        }
        if (!mAppendRate.tryTake()) {
            exchange.answerHeader("Retry-After", "1")
                    .answer(429, Refusal.notStarted("append_rate"));
            return;
        }
        Instant now = mLoop.clock().instant();
        long first = stream(stream).append(append.payloads(), now);
        wakeWaiters();
        if (mAnswersToLose > 0) {
            mAnswersToLose--;
            exchange.cut();
            return;
        }
        LogMessages.Appended answer = new LogMessages.Appended(first, append.payloads().size());
        later(() -> exchange.answer(200, answer));
    }

    private void read(Exchange exchange, String stream) {
        long from = Math.max(0, exchange.query("from", 0));
        long limit = exchange.query("limit", DEFAULT_READ_LIMIT);
        long boundedLimit = Math.max(1, Math.min(limit, MAXIMUM_READ_LIMIT));
        long wait = Math.min(exchange.query("wait_ms", 0), MAXIMUM_WAIT_MILLISECONDS);
        Waiter waiter = new Waiter(exchange, stream, from, (int) boundedLimit);
        mLoop.execute(() -> readOrWait(waiter, wait));
    }

    private void readOrWait(Waiter waiter, long waitMilliseconds) {
        if (mFaults.outage()) {
            answerOutage(waiter.exchange());
            return;
        }
        if (waitMilliseconds <= 0 || stream(waiter.stream()).hasRecordAt(waiter.from())) {
            later(() -> answerPage(waiter));
            return;
        }
        mWaiters.add(waiter);
        mLoop.after(
                Duration.ofMillis(waitMilliseconds),
                () -> {
                    if (mWaiters.remove(waiter)) {
                        answerPage(waiter);
                    }
                });
    }

    private void answerPage(Waiter waiter) {
        LogStream stream = stream(waiter.stream());
        Instant now = mLoop.clock().instant();
        waiter.exchange().answer(200, stream.read(waiter.from(), waiter.limit(), now));
    }

    private void wakeWaiters() {
        List<Waiter> ready =
                mWaiters.stream().filter(w -> stream(w.stream()).hasRecordAt(w.from())).toList();
        mWaiters.removeAll(ready);
        ready.forEach(waiter -> later(() -> answerPage(waiter)));
    }

    private void answerOutage(Exchange exchange) {
        exchange.answer(503, Refusal.notStarted("outage"));
    }

    private void later(Runnable answer) {
        if (mFaults.slowMs() > 0) {
            mLoop.after(Duration.ofMillis(mFaults.slowMs()), answer);
        } else {
            answer.run();
        }
    }

    private LogStream stream(String name) {
        if (!mStreams.containsKey(name) && mStreams.size() >= MAXIMUM_STREAMS) {
            throw new IllegalStateException("expected at most " + MAXIMUM_STREAMS + " streams");
        }
        return mStreams.computeIfAbsent(
                name, key -> new LogStream(mSettings.mRetainedRecords, mSettings.mRetention));
    }

    private void applyFaults(LogFaults faults) {
        mFaults = faults;
        mAnswersToLose = faults.loseAnswers();
        if (faults.outage()) {
            mWaiters.forEach(waiter -> answerOutage(waiter.exchange()));
            mWaiters.clear();
        }
        mServer.disturb(faults.refuseMs(), faults.holdMs());
    }

    private record Waiter(Exchange exchange, String stream, long from, int limit) {}

    /** Builds and starts a {@link LogStandin}. */
    public static final class Builder {
        private EventLoop mLoop;
        private int mPort;
        private int mRetainedRecords = 1_000_000;
        private Duration mRetention = Duration.ofDays(7);
        private double mAppendsPerSecond = 500;

        private Builder() {}

        /** Sets the loop that gives time and delays; by default a thread in real time. */
        public Builder loop(EventLoop loop) {
            mLoop = loop;
            return this;
        }

        /** Sets the port; 0 picks a free one. */
        public Builder port(int port) {
            mPort = port;
            return this;
        }

        /** Sets how many records each stream keeps. */
        public Builder retainedRecords(int records) {
            mRetainedRecords = records;
            return this;
        }

        /** Sets how long records are kept. */
        public Builder retention(Duration retention) {
            mRetention = retention;
            return this;
        }

        /** Sets how many appends a second are taken. */
        public Builder appendsPerSecond(double appends) {
            mAppendsPerSecond = appends;
            return this;
        }

        /** Starts the stand-in. */
        public LogStandin start() {
            return new LogStandin(this);
        }
    }
}
