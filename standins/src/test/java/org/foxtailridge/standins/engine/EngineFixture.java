package org.foxtailridge.standins.engine;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.foxtailridge.standins.TestClient;
import org.foxtailridge.standins.time.ManualEventLoop;

/** An engine on a manual loop, and a client. */
final class EngineFixture implements AutoCloseable {
    final TestClient mClient = new TestClient();
    final ManualEventLoop mLoop = ManualEventLoop.atEpoch();
    final EngineStandin mEngine;

    private EngineFixture(EngineStandin.Builder builder) {
        mEngine =
                builder.loop(mLoop)
                        .preload(Preloaded.model("scribe", "1", 1_000, 4_000_000))
                        .preload(Preloaded.adapter("lot", "scribe", "1", 100))
                        .start();
    }

    static EngineFixture start() {
        return new EngineFixture(builder());
    }

    static EngineFixture start(EngineStandin.Builder builder) {
        return new EngineFixture(builder);
    }

    static EngineStandin.Builder builder() {
        return EngineStandin.builder("engine").memoryBytes(10_000_000).kvBytesPerToken(10);
    }

    static String request(String prompt, int maxTokens, boolean stream, int priority) {
        return "{\"model\":\"scribe\",\"prompt\":\""
                + prompt
                + "\",\"max_tokens\":"
                + maxTokens
                + ",\"stream\":"
                + stream
                + ",\"priority\":"
                + priority
                + "}";
    }

    static String textOf(String prompt, int tokens) {
        return DeterministicText.of("scribe", "1", null, prompt).whole(tokens);
    }

    void setFaults(EngineFaults faults) {
        mEngine.setFaults(faults);
    }

    EngineExecution execution(String attempt) {
        return mEngine.executions().stream()
                .filter(execution -> execution.attemptId().equals(attempt))
                .findFirst()
                .orElse(new EngineExecution(null, attempt, "absent", 0, false));
    }

    /** Yields until a state is observed. */
    static void await(BooleanSupplier observed) {
        while (!observed.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }

    /** Advances time in small steps until a state is observed. */
    void advanceUntil(BooleanSupplier observed) {
        while (!observed.getAsBoolean()) {
            mLoop.advance(Duration.ofMillis(10));
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        mEngine.close();
    }
}
