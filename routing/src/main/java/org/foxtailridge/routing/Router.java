package org.foxtailridge.routing;

import java.util.Set;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.name.EndpointName;

/**
 * Load balancer that chooses an endpoint for each attempt.
 *
 * <p>Confined to one thread; no method blocks. Events for unknown endpoints or attempts are
 * ignored, so that late and duplicate events do no harm.
 *
 * <pre>{@code
 * Router router = RoundRobinRouter.create(clock);
 * duty.offer(() -> router.configure(configuration));
 * duty.offer(() -> router.loadReported(EndpointName.of("stone-scribe-1"), report));
 *
 * duty.offer(() -> {
 *     RoutingDecision decision = router.choose(request);
 *     if (decision instanceof RoutingDecision.Dispatch dispatch) {
 *         router.attemptStarted(new Attempt("attempt-1", dispatch.endpoint(), request));
 *         engines.send(request, dispatch);
 *     } else if (decision instanceof RoutingDecision.Refuse refuse) {
 *         caller.refuse(refuse.kind(), refuse.retryAfterSeconds());
 *     }
 * });
 * // From the engine's client, each wrapped in duty.offer:
 * router.firstTokenArrived("attempt-1");
 * router.attemptEnded("attempt-1", AttemptOutcome.FINISHED);
 * }</pre>
 */
public interface Router {
    /**
     * Chooses an endpoint, or decides to wait or to refuse. Doesn't count an attempt; call {@link
     * #attemptStarted} in the same task when the request is dispatched.
     *
     * @param request the request to route
     */
    RoutingDecision choose(RouteRequest request);

    /** Replaces the configured endpoints and services. */
    void configure(Configuration configuration);

    /** Applies a load report, which may be late; one older than the latest report is ignored. */
    void loadReported(EndpointName endpoint, LoadReport report);

    /** Applies cache events, which may be late or duplicate or have gaps. */
    void cacheChanged(EndpointName endpoint, CacheEventBatch batch);

    /** Applies a change of an endpoint's state. */
    void endpointChanged(EndpointName endpoint, EndpointState state);

    /**
     * Counts an attempt on its endpoint. To be called in the same task as the {@link #choose} that
     * led to it, so that the next decision takes it into account.
     */
    void attemptStarted(Attempt attempt);

    /** Reports that the first token of an attempt has arrived. */
    void firstTokenArrived(String attemptId);

    /**
     * Reports the time between tokens of an attempt; to be called before the end of the attempt.
     *
     * @param attemptId identifier of the attempt
     * @param millisecondsBetweenTokens mean time between two tokens, in milliseconds
     */
    void timeBetweenTokensObserved(String attemptId, double millisecondsBetweenTokens);

    /** Ends an attempt and its count. A second end of the same attempt is ignored. */
    void attemptEnded(String attemptId, AttemptOutcome outcome);

    /** Returns the names of the models and services that an endpoint can serve now. */
    Set<String> targetsOn(EndpointName endpoint);

    /** Returns the number of this router's attempts in flight on an endpoint. */
    int inFlight(EndpointName endpoint);
}
