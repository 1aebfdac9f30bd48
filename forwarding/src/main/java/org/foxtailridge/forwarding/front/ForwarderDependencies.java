package org.foxtailridge.forwarding.front;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.foxtailridge.execution.crash.CrashLedger;
import org.foxtailridge.execution.retry.FleetRetryBudget;
import org.foxtailridge.forwarding.http.EndpointConnections;
import org.foxtailridge.forwarding.http.RequestDialect;
import org.foxtailridge.limits.TokenLimiter;

/**
 * What a forwarder works with.
 *
 * @param loop thread of all requests
 * @param clock clock of the node
 * @param random source of random choices
 * @param dialect meaning of headers
 * @param connections connections to endpoints
 * @param limiter limits of client accounts
 * @param retries budget of retries
 * @param crashes requests that crash endpoints
 * @param adapters loads adapters
 * @param log told of decisions
 */
public record ForwarderDependencies(
        EventLoop loop,
        Clock clock,
        RandomGenerator random,
        RequestDialect dialect,
        EndpointConnections connections,
        TokenLimiter limiter,
        FleetRetryBudget retries,
        CrashLedger crashes,
        AdapterLoader adapters,
        RequestLog log) {
    /** Checks that no part is missing. */
    public ForwarderDependencies {
        Objects.requireNonNull(loop, "loop");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(dialect, "dialect");
        Objects.requireNonNull(connections, "connections");
        Objects.requireNonNull(limiter, "limiter");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(crashes, "crashes");
        Objects.requireNonNull(adapters, "adapters");
        Objects.requireNonNull(log, "log");
    }
}
