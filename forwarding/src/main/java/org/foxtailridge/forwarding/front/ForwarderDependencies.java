package org.foxtailridge.forwarding.front;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.foxtailridge.execution.crash.CrashLedger;
import org.foxtailridge.execution.crash.PromptCrashLedger;
import org.foxtailridge.execution.retry.FleetRetryBudget;
import org.foxtailridge.forwarding.http.EndpointConnections;
import org.foxtailridge.forwarding.http.RequestDialect;
import org.foxtailridge.limits.TokenLimiter;

/**
 * Collaborators of a {@link Forwarder}.
 *
 * @param loop event loop on which all requests are handled
 * @param clock clock of the node
 * @param random random source for the choice of services and the spread of retry times
 * @param dialect interprets the headers of callers and endpoints
 * @param connections connection pool towards endpoints
 * @param limiter token limits of client accounts
 * @param retries fleet-wide retry budget
 * @param crashes ledger of requests suspected of crashing endpoints
 * @param promptCrashes ledger of prompt parts suspected of crashing endpoints
 * @param adapters loads adapters on endpoints
 * @param log log and metrics of requests
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
        PromptCrashLedger promptCrashes,
        AdapterLoader adapters,
        RequestLog log) {
    /** Rejects null components. */
    public ForwarderDependencies {
        Objects.requireNonNull(loop, "loop");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(dialect, "dialect");
        Objects.requireNonNull(connections, "connections");
        Objects.requireNonNull(limiter, "limiter");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(crashes, "crashes");
        Objects.requireNonNull(promptCrashes, "promptCrashes");
        Objects.requireNonNull(adapters, "adapters");
        Objects.requireNonNull(log, "log");
    }
}
