package org.foxtailridge.routing.queue;

import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.routing.RouteRequest;

/**
 * A request that waits.
 *
 * @param request the request
 * @param arrivedMilliseconds when it began to wait, in milliseconds since the epoch
 * @param deadlineMilliseconds when it is given up, in milliseconds since the epoch
 */
record QueuedRequest(RouteRequest request, long arrivedMilliseconds, long deadlineMilliseconds) {
    static QueuedRequest of(RouteRequest request, QueueSettings settings, long now) {
        long patience = now + settings.patienceMilliseconds(request.workClass());
        long deadline = request.deadline().map(due -> due.toEpochMilli()).orElse(patience);
        return new QueuedRequest(request, now, deadline);
    }

    String account() {
        return request.clientAccount();
    }

    int tokens() {
        return Math.max(1, request.totalTokens());
    }

    /** Returns whether the answer must not say that the request has not run. */
    boolean mayNotBeRefused() {
        return request.mayHaveBegun();
    }

    boolean isUrgent(QueueSettings settings, long now) {
        return switch (request.workClass()) {
            case INTERACTIVE -> false;
            case MUST_COMPLETE -> now - arrivedMilliseconds >= settings.agedMilliseconds();
            case DUE_BY ->
                    request.deadline().isPresent()
                            && deadlineMilliseconds - now <= settings.urgentMilliseconds();
        };
    }

    /** Returns whether it has waited too long to be answered in time. */
    boolean isLate(QueueSettings settings, long now) {
        return !isBatch()
                && !request.mayHaveBegun()
                && now - arrivedMilliseconds > settings.freshMilliseconds();
    }

    boolean isBatch() {
        return request.workClass() != WorkClass.INTERACTIVE;
    }
}
