package org.foxtailridge.forwarding.front;

import java.time.Duration;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/** Rank of requests at engines. */
final class RequestPriority {
    private static final int STEPS_PER_RANK = 2;
    private static final int LEAST_URGENT = 9;
    // A target latency from here on leaves time for requests of the same rank that have less.
    private static final Duration PATIENT_TARGET = Duration.ofSeconds(1);

    private RequestPriority() {}

    /** Returns the rank of a request at an engine, from 0 for the most urgent to 9. */
    static int enginePriority(ResolvedRequest terms) {
        boolean patient = terms.route().targetLatency().compareTo(PATIENT_TARGET) >= 0;
        int rank = terms.urgency() * STEPS_PER_RANK + (patient ? 1 : 0);
        return Math.max(0, Math.min(LEAST_URGENT, rank));
    }
}
