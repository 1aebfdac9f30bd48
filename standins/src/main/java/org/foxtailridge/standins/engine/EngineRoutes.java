package org.foxtailridge.standins.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.standins.server.Exchange;
import org.foxtailridge.standins.server.Refusal;
import org.foxtailridge.standins.server.StandinServer;
import org.foxtailridge.standins.time.EventLoop;

/** Answers the calls of an engine. All state is used by the engine's loop only. */
final class EngineRoutes implements AttemptStream.Observer {
    private static final Pattern STREAM_PATH = Pattern.compile("/v1/attempts/([^/]+)/stream");
    private static final Pattern ATTEMPT_PATH = Pattern.compile("/v1/attempts/([^/]+)");
    private static final Pattern ORDER_PATH = Pattern.compile("/orders/([^/]+)");
    private static final int MAXIMUM_EVENTS = 1_000;

    private final EngineSettings mSettings;
    private final EventLoop mLoop;
    private final WeightLoader mLoader;
    private final AttemptBook mBook = new AttemptBook();
    private final KvHandles mKvHandles;
    private final FaultSwitches mFaults = new FaultSwitches();
    private volatile StandinServer mServer;
    private EngineFaults mLastFaults = EngineFaults.none();
    private EngineCore mCore;

    EngineRoutes(EngineSettings settings, EventLoop loop, WeightLoader loader) {
        mSettings = settings;
        mLoop = loop;
        mLoader = loader;
        mKvHandles = new KvHandles(settings, mBook);
        mCore = newCore(loop.clock().millis());
    }

    void attach(StandinServer server) {
        mServer = server;
    }

    EngineCore core() {
        return mCore;
    }

    List<EngineExecution> executions() {
        return mBook.executions();
    }

    void handle(Exchange exchange) {
        mLoop.execute(() -> route(exchange));
    }

    private void route(Exchange exchange) {
        try {
            if (!routeFixed(exchange) && !routeNamed(exchange)) {
                exchange.answer(404, Refusal.notStarted("unknown_path"));
            }
        } catch (FoxtailridgeException failure) {
            exchange.answer(400, Refusal.notStarted(failure.getMessage()));
        }
    }

    private boolean routeFixed(Exchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/completions" -> complete(exchange);
            case "GET /status" -> exchange.answer(200, mCore.report());
            case "GET /cache-events" -> answerCacheEvents(exchange);
            case "POST /orders" -> order(exchange);
            case "POST /kv/export" -> mKvHandles.export(exchange);
            case "POST /kv/import" -> mKvHandles.importInto(exchange, mCore, mLoop);
            case "GET /executions" -> exchange.answer(200, new Executions(executions()));
            case "POST /faults" -> {
                applyFaults(exchange.body(EngineFaults.class));
                exchange.answer(204);
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private boolean routeNamed(Exchange exchange) {
        Matcher stream = STREAM_PATH.matcher(exchange.path());
        Matcher attempt = ATTEMPT_PATH.matcher(exchange.path());
        Matcher order = ORDER_PATH.matcher(exchange.path());
        if (exchange.method().equals("GET") && stream.matches()) {
            resume(exchange, stream.group(1));
        } else if (exchange.method().equals("DELETE") && attempt.matches()) {
            cancel(attempt.group(1));
            exchange.answer(204);
        } else if (exchange.method().equals("GET") && order.matches()) {
            exchange.answer(200, mCore.orders().stateOf(order.group(1)));
        } else {
            return false;
        }
        return true;
    }

    private void complete(Exchange exchange) {
        CompletionRequest request = exchange.body(CompletionRequest.class);
        Optional<String> requestId = exchange.header("X-Request-Id");
        Optional<String> attemptId = exchange.header("X-Attempt-Id");
        if (!request.isValid() || requestId.isEmpty() || attemptId.isEmpty()) {
            exchange.answer(400, Refusal.notStarted("malformed"));
            return;
        }
        if (mBook.find(attemptId.get()).isPresent()) {
            exchange.answer(400, new Refusal(new Refusal.Reason("known_attempt"), true));
            return;
        }
        if (mBook.wasCancelledEarly(attemptId.get())) {
            exchange.answer(503, Refusal.notStarted("cancelled"));
            return;
        }
        AttemptIds ids =
                new AttemptIds(requestId.get(), attemptId.get(), exchange.credentialsSeen());
        admit(exchange, ids, request);
    }

    private void admit(Exchange exchange, AttemptIds ids, CompletionRequest request) {
        Optional<String> version = mCore.servingVersion(request);
        if (version.isEmpty()) {
            exchange.answer(404, Refusal.notStarted("not_resident"));
            return;
        }
        EngineFaults faults = mFaults.forNextRequest();
        Attempt attempt = new Attempt(ids, request, version.get(), mSettings.meanTokens(), faults);
        switch (mCore.admission(attempt)) {
            case NOT_RESIDENT -> exchange.answer(404, Refusal.notStarted("not_resident"));
            case FULL -> exchange.answer(503, Refusal.notStarted("full"));
            case TOO_LONG -> exchange.answer(400, Refusal.notStarted("too_long"));
            case ACCEPTED -> begin(exchange, attempt);
            default -> throw new IllegalStateException("expected a listed admission");
        }
    }

    private void begin(Exchange exchange, Attempt attempt) {
        mBook.add(attempt);
        mCore.add(attempt);
        long late = attempt.faults().answerLateMs();
        if (late > 0) {
            mLoop.after(Duration.ofMillis(late), () -> answer(exchange, attempt));
        } else {
            answer(exchange, attempt);
        }
    }

    private void answer(Exchange exchange, Attempt attempt) {
        AnswerFaults faults = AnswerFaults.of(attempt, mBook);
        if (attempt.request().stream()) {
            openStream(exchange, attempt, 0, faults);
            return;
        }
        WholeAnswer whole = new WholeAnswer(exchange, attempt, faults);
        attempt.listen(whole);
        whole.onProgress();
        mCore.wake();
    }

    private void openStream(Exchange exchange, Attempt attempt, int from, AnswerFaults faults) {
        AttemptStream stream = new AttemptStream(exchange, attempt, from, mLoop, faults, this);
        attempt.listen(stream);
        stream.begin();
    }

    private void resume(Exchange exchange, String attemptId) {
        Attempt attempt = mBook.find(attemptId).orElse(null);
        boolean lost =
                attempt == null
                        || attempt.state() == Attempt.State.CANCELLED
                        || attempt.state() == Attempt.State.FAILED;
        if (lost) {
            exchange.answer(404, Refusal.notStarted("unknown_attempt"));
            return;
        }
        int from = lastEventId(exchange) + 1;
        if (from < 0 || from > attempt.produced()) {
            exchange.answer(400, Refusal.notStarted("index_out_of_range"));
            return;
        }
        openStream(exchange, attempt, from, AnswerFaults.none());
    }

    private static int lastEventId(Exchange exchange) {
        try {
            return Integer.parseInt(exchange.header("Last-Event-ID").orElse("-1"));
        } catch (NumberFormatException failure) {
            return Integer.MIN_VALUE;
        }
    }

    private void cancel(String attemptId) {
        Optional<Attempt> attempt = mBook.find(attemptId);
        if (attempt.isPresent()) {
            mCore.cancel(attempt.get());
        } else {
            mBook.cancelEarly(attemptId);
        }
    }

    @Override
    public void onTaken(Attempt attempt) {
        if (attempt.canProduce()) {
            mCore.wake();
        }
    }

    @Override
    public void onBroken(Attempt attempt, AttemptStream stream) {
        Attempt.Listener detached = () -> {};
        if (!attempt.isListenedToBy(stream)) {
            return;
        }
        attempt.listen(detached);
        mLoop.after(
                mSettings.resumeWindow(),
                () -> {
                    if (attempt.isListenedToBy(detached)) {
                        mCore.cancel(attempt);
                    }
                });
    }

    private void answerCacheEvents(Exchange exchange) {
        PrefixCache cache = mCore.prefixCache();
        long from = exchange.query("from", 0);
        long limit = Math.max(1, Math.min(exchange.query("limit", MAXIMUM_EVENTS), MAXIMUM_EVENTS));
        List<CacheEvent> events = cache.events(from, (int) limit, mLoop.clock().instant());
        long next = events.isEmpty() ? from : events.get(events.size() - 1).sequence() + 1;
        exchange.answer(200, new CacheEvents(cache.firstSequence(), next, events));
    }

    private void order(Exchange exchange) {
        OrderMessages.Order order = exchange.body(OrderMessages.Order.class);
        if (!order.isValid()) {
            exchange.answer(400, Refusal.notStarted("malformed"));
            return;
        }
        if (mFaults.takeDroppedOrder()) {
            exchange.cut();
            return;
        }
        long delay = mFaults.orderDelayMilliseconds();
        EngineCore core = mCore;
        if (delay > 0) {
            mLoop.after(Duration.ofMillis(delay), () -> execute(exchange, order, core));
        } else {
            execute(exchange, order, core);
        }
    }

    private void execute(Exchange exchange, OrderMessages.Order order, EngineCore core) {
        if (core != mCore) {
            exchange.cut();
            return;
        }
        OrderMessages.Answer answer = core.orders().accept(order);
        core.wake();
        if (mFaults.takeLostOrderAnswer()) {
            exchange.cut();
            return;
        }
        exchange.answer(answer.status(), answer.body());
    }

    void applyFaults(EngineFaults faults) {
        mLastFaults = faults;
        mFaults.set(faults);
        mServer.disturb(faults.refuseMs(), faults.holdMs());
    }

    private EngineCore newCore(long incarnation) {
        return new EngineCore(mSettings, mLoop, mLoader, incarnation, this::crash);
    }

    private void crash() {
        EngineCore dead = mCore;
        long now = mLoop.clock().millis();
        mCore = newCore(Math.max(dead.incarnation() + 1, now));
        dead.die();
        mServer.refuseFor(Duration.ofMillis(mLastFaults.crashDownMs()));
    }

    private record Executions(List<EngineExecution> executions) {}

    private record CacheEvents(long first, long next, List<CacheEvent> events) {}
}
