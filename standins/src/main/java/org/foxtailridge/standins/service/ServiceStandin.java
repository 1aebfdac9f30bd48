package org.foxtailridge.standins.service;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.Json;
import org.foxtailridge.standins.server.Refusal;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.time.ThreadEventLoop;

/**
 * Stand-in of a plain service.
 *
 * <p>A path with the segment {@code bookings} or {@code bids} gives each call the next confirmation
 * number; any other path is a lookup, whose result depends on method, path and body alone.
 *
 * <pre>{@code
 * try (ServiceStandin service = ServiceStandin.builder().start()) {
 *     service.address();
 * }
 * }</pre>
 */
public final class ServiceStandin implements AutoCloseable {
    private static final HashFunction HASH = Hashing.sha256();
    private static final int MAXIMUM_EXECUTIONS = 100_000;
    private static final String OTHER_ATTEMPT = "other-attempt";

    private final EventLoop mLoop;
    private final StandinServer mServer;
    private final Deque<ServiceExecution> mExecutions = new ArrayDeque<>();
    private ServiceFaults mFaults = ServiceFaults.none();
    private CallFaults mRemaining = new CallFaults(mFaults);
    private long mConfirmations;

    private ServiceStandin(Builder settings) {
        mLoop = settings.mLoop == null ? ThreadEventLoop.start("service-standin") : settings.mLoop;
        mServer = StandinServer.start("service-standin-http", settings.mPort, mLoop, this::route);
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the base address. */
    public URI address() {
        return mServer.address();
    }

    /** Sets all fault switches. */
    public void setFaults(ServiceFaults faults) {
        mLoop.execute(() -> applyFaults(faults));
    }

    @Override
    public void close() {
        mServer.close();
        mLoop.close();
    }

    private void route(Exchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /faults" -> {
                ServiceFaults faults = exchange.body(ServiceFaults.class);
                mLoop.execute(
                        () -> {
                            applyFaults(faults);
                            exchange.answer(204);
                        });
            }
            case "GET /executions" -> mLoop.execute(() -> answerExecutions(exchange));
            default -> mLoop.execute(() -> call(exchange));
        }
    }

    private void answerExecutions(Exchange exchange) {
        exchange.answer(200, new Executions(List.copyOf(mExecutions)));
    }

    private void call(Exchange exchange) {
        if (mRemaining.takeNotStarted()) {
            exchange.answerHeader("X-Not-Started", "true")
                    .answer(503, Refusal.notStarted("not_started"));
            return;
        }
        if (mRemaining.takeCutBefore()) {
            exchange.cut();
            return;
        }
        ServiceAnswer answer = execute(exchange);
        if (isMarked(exchange)) {
            mServer.refuseFor(Duration.ofMillis(mFaults.crashDownMs()));
            exchange.cut();
            return;
        }
        if (mFaults.answerLateMs() > 0) {
            mLoop.after(Duration.ofMillis(mFaults.answerLateMs()), () -> deliver(exchange, answer));
            return;
        }
        deliver(exchange, answer);
    }

    private void deliver(Exchange exchange, ServiceAnswer answer) {
        if (mRemaining.takeLoseAnswer()) {
            exchange.cut();
        } else if (mRemaining.takeHalfAnswer()) {
            byte[] whole = Json.write(answer);
            byte[] half = Arrays.copyOf(whole, whole.length / 2);
            exchange.answerHeader("Content-Length", Integer.toString(whole.length));
            exchange.beginStream("application/json");
            exchange.write(half, false, Callback.from(exchange::cut));
        } else if (mRemaining.takeOtherAnswer()) {
            exchange.answer(
                    200,
                    new ServiceAnswer(
                            OTHER_ATTEMPT, OTHER_ATTEMPT, answer.result(), answer.confirmation()));
        } else {
            exchange.answer(200, answer);
        }
    }

    private ServiceAnswer execute(Exchange exchange) {
        String requestId = exchange.header("X-Request-Id").orElse(null);
        String attemptId = exchange.header("X-Attempt-Id").orElse(null);
        record(exchange, requestId, attemptId);
        List<String> segments = List.of(exchange.path().split("/"));
        if (segments.contains("bookings") || segments.contains("bids")) {
            mConfirmations++;
            return new ServiceAnswer(requestId, attemptId, null, mConfirmations);
        }
        return new ServiceAnswer(requestId, attemptId, lookup(exchange), null);
    }

    private void record(Exchange exchange, String requestId, String attemptId) {
        mExecutions.addLast(
                new ServiceExecution(
                        requestId,
                        attemptId,
                        "finished",
                        0,
                        exchange.credentialsSeen(),
                        exchange.header("Idempotency-Key").orElse(null),
                        exchange.method(),
                        exchange.path(),
                        HASH.hashBytes(exchange.body()).toString()));
        if (mExecutions.size() > MAXIMUM_EXECUTIONS) {
            mExecutions.removeFirst();
        }
    }

    private static String lookup(Exchange exchange) {
        return HASH.newHasher()
                .putString(exchange.method(), StandardCharsets.UTF_8)
                .putString(exchange.path(), StandardCharsets.UTF_8)
                .putBytes(exchange.body())
                .hash()
                .toString();
    }

    private boolean isMarked(Exchange exchange) {
        String marker = mFaults.crashMarker();
        return marker != null
                && new String(exchange.body(), StandardCharsets.UTF_8).contains(marker);
    }

    private void applyFaults(ServiceFaults faults) {
        mFaults = faults;
        mRemaining = new CallFaults(faults);
        mServer.disturb(faults.refuseMs(), faults.holdMs());
    }

    private record Executions(List<ServiceExecution> executions) {}

    /** Builds and starts a {@link ServiceStandin}. */
    public static final class Builder {
        private EventLoop mLoop;
        private int mPort;

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

        /** Starts the stand-in. */
        public ServiceStandin start() {
            return new ServiceStandin(this);
        }
    }
}
