package org.foxtailridge.forwarding.request;

import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;

/**
 * Under which terms a request runs, decided when it came. Immutable.
 *
 * @param runId identifier of the request on this node
 * @param metadata what its head says
 * @param route its route
 * @param service name of the service that it goes to
 * @param account its client account; empty on an open route
 * @param arrivedMilliseconds when its head came, in milliseconds since the epoch
 * @param deadlineMilliseconds when it is given up, in milliseconds since the epoch
 * @param countedTokens what it takes of its client account's limit; 0 for nothing
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
    /** Checks that no part is missing. */
    public ResolvedRequest {
        Objects.requireNonNull(runId, "runId");
        Objects.requireNonNull(metadata, "metadata");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(account, "account");
    }

    /** Returns the rank of the request: its client account's, or else its route's. */
    public int urgency() {
        return account.isPresent() && account.get().priority().isPresent()
                ? account.get().priority().getAsInt()
                : route.priority();
    }

    /** Returns the name of the client account; empty text on an open route. */
    public String accountName() {
        return account.map(ForwardingAccount::name).orElse("");
    }

    /**
     * Returns the instant by which an endpoint has to be found, in milliseconds since the epoch: in
     * time for an answer, and before the caller leaves because no event has come.
     */
    public long startByMilliseconds() {
        long time = deadlineMilliseconds - arrivedMilliseconds;
        long forAnswer = deadlineMilliseconds - time / RequestTiming.RUN_SHARE;
        long forFirstEvent =
                route.eventTimeout()
                        .map(patience -> arrivedMilliseconds + patience.toMillis())
                        .map(leaves -> leaves - RequestTiming.FIRST_EVENT_MILLISECONDS)
                        .orElse(deadlineMilliseconds);
        return Math.min(forAnswer, forFirstEvent);
    }
}
