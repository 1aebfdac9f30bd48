package org.foxtailridge.forwarding.front;

import java.time.Duration;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Maps the priority of a request to the priorities of engines, 0 to 9. Each priority of a request
 * takes two of them, the second one for requests with a relaxed target latency.
 */
final class RequestPriority {
    private static final int STEPS_PER_PRIORITY = 2;
    private static final int LOWEST_PRIORITY = 9;
    // Requests with at least this target latency take the second one of their two engine
    // priorities.
    private static final Duration RELAXED_TARGET = Duration.ofSeconds(1);

    private RequestPriority() {}

    /** Returns the priority of a request at an engine, from 0 for the highest to 9. */
    static int enginePriority(ResolvedRequest resolved) {
        boolean relaxed = resolved.route().targetLatency().compareTo(RELAXED_TARGET) >= 0;
        int priority = resolved.priority() * STEPS_PER_PRIORITY + (relaxed ? 1 : 0);
        return Math.max(0, Math.min(LOWEST_PRIORITY, priority));
    }
}
