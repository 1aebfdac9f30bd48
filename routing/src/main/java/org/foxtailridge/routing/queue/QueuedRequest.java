package org.foxtailridge.routing.queue;

import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.routing.RouteRequest;

/**
 * A request that waits in a queue.
 *
 * @param request the request
 * @param arrivedMilliseconds when it was queued, in milliseconds since the epoch
 * @param deadlineMilliseconds when it is refused if it still waits, in milliseconds since the epoch
 */
record QueuedRequest(RouteRequest request, long arrivedMilliseconds, long deadlineMilliseconds) {
    /**
     * Creates a queued request; without a deadline of its own, it gets the class's maximum wait.
     */
    static QueuedRequest of(RouteRequest request, QueueSettings settings, long now) {
        long defaultDeadline = now + settings.maximumWaitMilliseconds(request.workClass());
        long deadline = request.deadline().map(due -> due.toEpochMilli()).orElse(defaultDeadline);
        return new QueuedRequest(request, now, deadline);
    }

    String account() {
        return request.clientAccount();
    }

    /** Returns the cost of the request in a fair queue: prompt and maximum answer; at least 1. */
    int tokens() {
        return Math.max(1, request.totalTokens());
    }

    /**
     * Returns whether an earlier attempt may have begun to execute the request. It is then not
     * evicted from a full queue and not refused at its deadline, because these refusals say that
     * the request was not run.
     */
    boolean mayHaveBegun() {
        return request.mayHaveBegun();
    }

    /** Returns whether it is batch work that alternates with interactive requests. */
    boolean isUrgent(QueueSettings settings, long now) {
        return switch (request.workClass()) {
            case INTERACTIVE -> false;
            case MUST_COMPLETE ->
                    now - arrivedMilliseconds >= settings.urgentAfterWaitMilliseconds();
            case DUE_BY ->
                    request.deadline().isPresent()
                            && deadlineMilliseconds - now
                                    <= settings.urgentBeforeDeadlineMilliseconds();
        };
    }

    /** Returns whether it is interactive and has waited too long to be answered in time. */
    boolean isOverdue(QueueSettings settings, long now) {
        return !isBatch()
                && !request.mayHaveBegun()
                && now - arrivedMilliseconds > settings.overdueAfterWaitMilliseconds();
    }

    /** Returns whether its work class is any but interactive. */
    boolean isBatch() {
        return request.workClass() != WorkClass.INTERACTIVE;
    }
}
