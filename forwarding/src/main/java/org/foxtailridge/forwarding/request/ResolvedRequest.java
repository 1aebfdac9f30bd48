package org.foxtailridge.forwarding.request;

import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;

/**
 * A request with its route, service, client account, deadline and counted tokens, resolved on
 * arrival from the configuration then in force. Later configurations do not change it. Immutable.
 *
 * @param runId identifier of the request on this node; the queue knows the request by it, not by
 *     the identifier that the caller gave
 * @param metadata metadata from its head
 * @param route its route
 * @param service name of the service that it is forwarded to
 * @param account its client account; empty on an open route
 * @param arrivedMilliseconds when its head arrived, in milliseconds since the epoch
 * @param deadlineMilliseconds time, in milliseconds since the epoch, at which the request is ended
 *     if it is still running: an answer that has started is aborted, a buffered answer is
 *     forwarded; otherwise the caller gets the error {@code ANSWER_TIMEOUT} if an endpoint may have
 *     run the request, or else {@code DEADLINE_UNREACHABLE}
 * @param countedTokens tokens, or requests, that it takes from its client account's limit; 0 if it
 *     is not limited
 */
public record ResolvedRequest(
        String runId,
        RequestMetadata metadata,
        ForwardingRoute route,
        String service,
        Optional<ForwardingAccount> account,
        long arrivedMilliseconds,
        long deadlineMilliseconds,
        long countedTokens) {
    /** Rejects null components. */
    public ResolvedRequest {
        Objects.requireNonNull(runId, "runId");
        Objects.requireNonNull(metadata, "metadata");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(account, "account");
    }

    /**
     * Returns the priority of the request, 0 for the highest: that of its client account, or else
     * of its route.
     */
    public int priority() {
        return account.isPresent() && account.get().priority().isPresent()
                ? account.get().priority().getAsInt()
                : route.priority();
    }

    /** Returns the name of the client account; empty text on an open route. */
    public String accountName() {
        return account.map(ForwardingAccount::name).orElse("");
    }

    /**
     * Returns the instant by which an endpoint has to be chosen, in milliseconds since the epoch.
     * It leaves time for the answer before the deadline, and for the first event before the caller
     * closes a stream without events.
     */
    public long dispatchDeadlineMilliseconds() {
        long time = deadlineMilliseconds - arrivedMilliseconds;
        long forAnswer = deadlineMilliseconds - time / RequestTiming.ANSWER_TIME_DIVISOR;
        long forFirstEvent =
                route.eventTimeout()
                        .map(timeout -> arrivedMilliseconds + timeout.toMillis())
                        .map(leaves -> leaves - RequestTiming.FIRST_EVENT_MILLISECONDS)
                        .orElse(deadlineMilliseconds);
        return Math.min(forAnswer, forFirstEvent);
    }
}
