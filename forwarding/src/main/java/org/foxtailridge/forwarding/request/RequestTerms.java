package org.foxtailridge.forwarding.request;

import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;

/**
 * Under which terms a request runs, decided when it came. Immutable.
 *
 * @param runId identifier of the request on this node
 * @param facts what its head says
 * @param route its route
 * @param service name of the service that it goes to
 * @param account its client account; empty on an open route
 * @param arrivedMilliseconds when its head came, in milliseconds since the epoch
 * @param endsMilliseconds when it is given up, in milliseconds since the epoch
 * @param countedTokens what it takes of its client account's limit; 0 for nothing
 */
public record RequestTerms(
        String runId,
        RequestFacts facts,
        ForwardingRoute route,
        String service,
        Optional<ForwardingAccount> account,
        long arrivedMilliseconds,
        long endsMilliseconds,
        long countedTokens) {
    /** Checks that no part is missing. */
    public RequestTerms {
        Objects.requireNonNull(runId, "runId");
        Objects.requireNonNull(facts, "facts");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(account, "account");
    }

    /** Returns the rank of the request: its client account's, or else its route's. */
    public int urgency() {
        return account.isPresent() && account.get().urgency().isPresent()
                ? account.get().urgency().getAsInt()
                : route.urgency();
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
        long time = endsMilliseconds - arrivedMilliseconds;
        long forAnswer = endsMilliseconds - time / LifeTimes.RUN_SHARE;
        long forFirstEvent =
                route.eventPatience()
                        .map(patience -> arrivedMilliseconds + patience.toMillis())
                        .map(leaves -> leaves - LifeTimes.FIRST_EVENT_MILLISECONDS)
                        .orElse(endsMilliseconds);
        return Math.min(forAnswer, forFirstEvent);
    }
}
