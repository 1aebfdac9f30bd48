package org.foxtailridge.standins.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.Json;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;
import org.foxtailridge.standins.time.ThreadEventLoop;

/**
 * Stand-in of a worker of the platform, plain or with models, that announces itself in the store.
 *
 * <p>It answers a request that names a model with a stream of numbered events and any other with
 * one text; {@link #eventsOf} and {@link #textOf} give what a caller must receive.
 *
 * <pre>{@code
 * WorkerStandin worker =
 *         WorkerStandin.builder("i-1", "scribe", "lautoka-a", store).model("m1").start();
 * worker.executions();
 * worker.drain();
 * }</pre>
 */
public final class WorkerStandin implements AutoCloseable {
    private static final String HEALTH_PATH = "/health";
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String SEAL = "X-Response-Seal";
    private static final String NOT_RUN = "X-Not-Executed";
    private static final String REQUEST_ID = "X-Request-Id";
    private static final long MEMORY_TOKENS = 100_000;

    private final Builder mSettings;
    private final EventLoop mLoop;
    private final StandinServer mServer;
    private final long mBorn;
    private final WorkerResidents mModels;
    private final List<WorkerExecution> mExecutions = new ArrayList<>();
    private WorkerFaults mFaults = WorkerFaults.none();
    private long mEntryNumber;
    private int mRunning;
    private boolean mDraining;
    private boolean mGone;

    private WorkerStandin(Builder settings) {
        mSettings = settings;
        mLoop = ThreadEventLoop.start("worker-standin " + settings.mId);
        mBorn = mLoop.clock().millis();
        mModels = new WorkerResidents(mLoop, settings.mLoadTime, settings.mModels);
        mServer =
                StandinServer.start(
                        "worker-standin-http",
                        0,
                        mLoop,
                        exchange -> mLoop.execute(() -> receive(exchange)));
        mLoop.call(
                () -> {
                    beat();
                    return null;
                });
    }

    /**
     * Returns a builder.
     *
     * @param id identifier of this start of the worker
     * @param service its service
     * @param dataCentre where it is
     * @param store where it announces itself
     */
    public static Builder builder(
            String id, String service, String dataCentre, StoreStandin store) {
        return new Builder(id, service, dataCentre, store);
    }

    /** Returns the text that answers a request which names no model. */
    public static String textOf(String method, String target, String body) {
        return method + " " + target + " took " + body.length() + " characters";
    }

    /** Returns the events that answer a request which names a model, behind an event. */
    public static String eventsOf(String requestBody, int afterEvent, int lastEvent) {
        StringBuilder events = new StringBuilder();
        for (int number = afterEvent + 1; number <= lastEvent; number++) {
            events.append(event(requestBody, number));
        }
        return events.toString();
    }

    /** Returns the base address. */
    public URI address() {
        return mServer.address();
    }

    /** Returns the requests that it began to run. */
    public List<WorkerExecution> executions() {
        return mLoop.call(() -> List.copyOf(mExecutions));
    }

    /** Returns the models that it holds now. */
    public Set<String> models() {
        return mLoop.call(mModels::names);
    }

    /** Returns the most models that it ever held or was loading. */
    public int peakModels() {
        return mLoop.call(mModels::peak);
    }

    /** Sets what it does wrong from now on. */
    public void setFaults(WorkerFaults faults) {
        mLoop.call(() -> mFaults = faults);
    }

    /** Says that it leaves; it goes on serving. */
    public void drain() {
        mLoop.call(
                () -> {
                    mDraining = true;
                    announce();
                    return null;
                });
    }

    /** Takes its entry away; it goes on serving. */
    public void vanish() {
        mLoop.call(
                () -> {
                    mGone = true;
                    mSettings.mStore.announce(mSettings.mId, "");
                    return null;
                });
    }

    @Override
    public void close() {
        mServer.close();
        mLoop.close();
    }

    private void receive(Exchange exchange) {
        Optional<String> expected = exchange.header("X-Expect-Instance");
        if (expected.isPresent() && !expected.get().equals(mSettings.mId)) {
            exchange.header(REQUEST_ID).ifPresent(id -> exchange.answerHeader(REQUEST_ID, id));
            exchange.answerHeader("X-Instance-Id", mSettings.mId)
                    .answer(421, new WorkerMessages.Answer("another worker"));
            return;
        }
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /report" -> exchange.answer(200, report());
            case "POST /order" -> order(exchange);
            case "GET " + HEALTH_PATH ->
                    exchange.answerHeader("X-Instance-Id", mSettings.mId)
                            .answer(mDraining ? 503 : 200);
            default -> request(exchange);
        }
    }

    private void request(Exchange exchange) {
        Optional<String> requestId = exchange.header(REQUEST_ID);
        if (requestId.isEmpty()) {
            reject(exchange, 400);
            return;
        }
        if (mFaults.full() > 0) {
            mFaults = mFaults.withFull(mFaults.full() - 1);
            reject(exchange, 503);
            return;
        }
        Optional<String> model = exchange.header("X-Model");
        if (model.isPresent() && !mModels.holds(model.get())) {
            reject(exchange, 421);
            return;
        }
        WorkerExecution execution = execution(exchange, requestId.get());
        mExecutions.add(execution);
        if (mFaults.cutBeforeAnswer() > 0) {
            mFaults = mFaults.withCutBeforeAnswer(mFaults.cutBeforeAnswer() - 1);
            exchange.cut();
            return;
        }
        exchange.answerHeader(SEAL, "seal." + mSettings.mId);
        exchange.answerHeader(REQUEST_ID, echoed(requestId.get()));
        if (mFaults.failing() > 0) {
            mFaults = mFaults.withFailing(mFaults.failing() - 1);
            exchange.answer(500, new WorkerMessages.Answer("failed"));
        } else if (mFaults.rejecting() > 0 && execution.resumedAfter().isPresent()) {
            mFaults = mFaults.withRejecting(mFaults.rejecting() - 1);
            exchange.answer(404, new WorkerMessages.Answer("rejected"));
        } else if (model.isPresent()) {
            stream(exchange, execution);
        } else {
            String text = textOf(execution.method(), execution.target(), execution.body());
            mLoop.after(mSettings.mAnswerTime, () -> answer(exchange, text));
        }
    }

    private String echoed(String requestId) {
        if (mFaults.crossed() == 0) {
            return requestId;
        }
        mFaults = mFaults.withCrossed(mFaults.crossed() - 1);
        return "of-another-request";
    }

    private static void reject(Exchange exchange, int status) {
        exchange.header(REQUEST_ID).ifPresent(id -> exchange.answerHeader(REQUEST_ID, id));
        exchange.answerHeader(NOT_RUN, "1").answer(status, new WorkerMessages.Answer("not run"));
    }

    private void answer(Exchange exchange, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (takeCutInside()) {
            exchange.answerHeader("Content-Length", Integer.toString(bytes.length + 1));
            exchange.beginStream("text/plain");
            exchange.write(bytes, false, Callback.from(exchange::cut));
            return;
        }
        exchange.answerBytes("text/plain", bytes);
    }

    private void stream(Exchange exchange, WorkerExecution execution) {
        mRunning++;
        exchange.beginStream(EVENT_STREAM);
        int last = execution.resumedAfter().orElse(0);
        int end = mSettings.mEvents;
        int cutBehind = takeCutInside() ? (last + end) / 2 : end;
        next(exchange, execution, last + 1, cutBehind);
    }

    private void next(Exchange exchange, WorkerExecution execution, int number, int cutBehind) {
        boolean last = number >= mSettings.mEvents;
        if (number > cutBehind) {
            mRunning--;
            exchange.cut();
            return;
        }
        byte[] event = event(execution.body(), number).getBytes(StandardCharsets.UTF_8);
        exchange.write(
                event,
                last,
                Callback.from(
                        () ->
                                mLoop.after(
                                        mSettings.mBetweenEvents,
                                        () -> afterEvent(exchange, execution, number, cutBehind)),
                        failure -> mLoop.execute(() -> mRunning--)));
    }

    private void afterEvent(
            Exchange exchange, WorkerExecution execution, int number, int cutBehind) {
        if (number >= mSettings.mEvents) {
            mRunning--;
        } else {
            next(exchange, execution, number + 1, cutBehind);
        }
    }

    private static String event(String requestBody, int number) {
        return "id: " + number + "\ndata: piece " + number + " for " + requestBody + "\n\n";
    }

    private boolean takeCutInside() {
        if (mFaults.cutInsideAnswer() == 0) {
            return false;
        }
        mFaults = mFaults.withCutInsideAnswer(mFaults.cutInsideAnswer() - 1);
        return true;
    }

    private static WorkerExecution execution(Exchange exchange, String requestId) {
        return new WorkerExecution(
                requestId,
                exchange.method(),
                exchange.target(),
                new String(exchange.body(), StandardCharsets.UTF_8),
                exchange.header("X-Tenant"),
                exchange.header("X-Deadline-Ms").map(Long::valueOf),
                exchange.header("Last-Event-Id").map(Integer::valueOf),
                exchange.credentialsSeen());
    }

    private void order(Exchange exchange) {
        int status = mModels.order(exchange.body(WorkerMessages.Order.class), this::announce);
        if (mFaults.lostOrders() > 0) {
            mFaults = mFaults.withLostOrders(mFaults.lostOrders() - 1);
            exchange.cut();
            return;
        }
        exchange.answer(status, new WorkerMessages.Answer("order"));
    }

    private WorkerMessages.Report report() {
        return new WorkerMessages.Report(
                "colocated",
                mBorn,
                mModels.held(),
                mModels.isBusy(),
                mModels.orders(),
                0,
                mRunning,
                0,
                MEMORY_TOKENS);
    }

    private void beat() {
        announce();
        mLoop.after(HEARTBEAT, this::beat);
    }

    private void announce() {
        if (mGone) {
            return;
        }
        mEntryNumber++;
        WorkerMessages.Entry entry =
                new WorkerMessages.Entry(
                        mSettings.mService,
                        mServer.address().getAuthority(),
                        mSettings.mDataCentre,
                        "v1",
                        mSettings.mSlots,
                        mDraining ? "draining" : "ready",
                        0,
                        mBorn,
                        mModels.held(),
                        mEntryNumber);
        mSettings.mStore.announce(
                mSettings.mId, new String(Json.write(entry), StandardCharsets.UTF_8));
    }

    /** Builds and starts a {@link WorkerStandin}. */
    public static final class Builder {
        private final String mId;
        private final String mService;
        private final String mDataCentre;
        private final StoreStandin mStore;
        private final List<String> mModels = new ArrayList<>();
        private int mSlots = 16;
        private int mEvents = 20;
        private Duration mBetweenEvents = Duration.ofMillis(2);
        private Duration mAnswerTime = Duration.ZERO;
        private Duration mLoadTime = Duration.ofMillis(100);

        private Builder(String id, String service, String dataCentre, StoreStandin store) {
            mId = Objects.requireNonNull(id, "id");
            mService = Objects.requireNonNull(service, "service");
            mDataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
            mStore = Objects.requireNonNull(store, "store");
        }

        /** Adds a model that it holds from the start. */
        public Builder model(String model) {
            mModels.add(model);
            return this;
        }

        /** Sets how many requests it runs at once. */
        public Builder slots(int slots) {
            mSlots = slots;
            return this;
        }

        /**
         * Sets the streams that it makes.
         *
         * @param events number of the last event
         * @param between time from one event to the next
         */
        public Builder streams(int events, Duration between) {
            mEvents = events;
            mBetweenEvents = between;
            return this;
        }

        /** Sets how long it runs a request that names no model; no time by default. */
        public Builder answerTime(Duration time) {
            mAnswerTime = time;
            return this;
        }

        /** Sets how long it takes to load or drop a model. */
        public Builder loadTime(Duration time) {
            mLoadTime = time;
            return this;
        }

        /** Starts the worker and announces it. */
        public WorkerStandin start() {
            return new WorkerStandin(this);
        }
    }
}
