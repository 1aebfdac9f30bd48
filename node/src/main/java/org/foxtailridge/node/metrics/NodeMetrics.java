package org.foxtailridge.node.metrics;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.ToDoubleFunction;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Counts and times what a node does. Labels hold names of the configuration, never keys. */
@Singleton
public final class NodeMetrics {
    private static final Duration SHORTEST = Duration.ofMillis(1);
    private static final Duration LONGEST = Duration.ofSeconds(60);

    private final PrometheusMeterRegistry mRegistry;

    /** Creates the metrics of a node. */
    @Inject
    public NodeMetrics(PrometheusMeterRegistry registry) {
        mRegistry = registry;
    }

    /**
     * Counts a request that has ended.
     *
     * @param sort {@code completion} or {@code service}
     * @param clientAccount name of the client account; empty on open routes
     * @param outcome {@code ok} or the word of an error kind
     */
    public void requestEnded(String sort, String clientAccount, String outcome) {
        mRegistry
                .counter(
                        "foxtailridge.requests",
                        "sort",
                        sort,
                        "client_account",
                        clientAccount,
                        "outcome",
                        outcome)
                .increment();
    }

    /** Records the time from a request to its first token. */
    public void firstToken(String model, Duration elapsed) {
        timer("foxtailridge.first.token", model).record(elapsed);
    }

    /** Records the time between two tokens of an answer. */
    public void betweenTokens(String model, Duration elapsed) {
        timer("foxtailridge.between.tokens", model).record(elapsed);
    }

    /** Records the tokens that a request was charged. */
    public void tokensCharged(String clientAccount, long tokens) {
        DistributionSummary.builder("foxtailridge.tokens")
                .tag("client_account", clientAccount)
                .register(mRegistry)
                .record(tokens);
    }

    /** Counts a try after the first. */
    public void retried(String reason) {
        mRegistry.counter("foxtailridge.retries", "reason", reason).increment();
    }

    /** Shows a figure that is read whenever the metrics are. */
    public <T> void gauge(String name, T source, ToDoubleFunction<T> figure) {
        mRegistry.gauge(name, source, figure);
    }

    private Timer timer(String name, String model) {
        return Timer.builder(name)
                .tag("model", model)
                .publishPercentileHistogram()
                .minimumExpectedValue(SHORTEST)
                .maximumExpectedValue(LONGEST)
                .register(mRegistry);
    }
}
