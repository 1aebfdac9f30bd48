package org.foxtailridge.routing;

import java.util.Set;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.name.EndpointName;

/**
 * Chooses an endpoint for each attempt.
 *
 * <p>Confined to one thread. All methods return at once. Events about endpoints or attempts that
 * are not known are ignored, so that late and doubled events do no harm.
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
 * router.attemptEnded("attempt-1", AttemptEnd.FINISHED);
 * }</pre>
 */
public interface Router {
    /**
     * Chooses an endpoint. Doesn't count the attempt; see {@link #attemptStarted}.
     *
     * @param request what is to be routed
     */
    RoutingDecision choose(RouteRequest request);

    /** Replaces the listed endpoints, models and services. */
    void configure(Configuration configuration);

    /** Takes in a load report, which may be late or older than one already seen. */
    void loadReported(EndpointName endpoint, LoadReport report);

    /** Takes in cache events, which may be late, doubled or have gaps. */
    void cacheChanged(EndpointName endpoint, CacheEventBatch events);

    /** Takes in whether an endpoint is up, down or leaving. */
    void endpointChanged(EndpointName endpoint, EndpointState state);

    /** Counts an attempt; called in the same task as the {@link #choose} that led to it. */
    void attemptStarted(Attempt attempt);

    /** Notes that the first token of an attempt arrived. */
    void firstTokenArrived(String attemptId);

    /**
     * Notes how fast the tokens of an attempt in flight come.
     *
     * @param attemptId identifier of the attempt
     * @param millisecondsBetweenTokens mean time between two tokens, in milliseconds
     */
    void paceObserved(String attemptId, double millisecondsBetweenTokens);

    /** Ends the count of an attempt. A second end of the same attempt is ignored. */
    void attemptEnded(String attemptId, AttemptOutcome end);

    /** Returns the names of the models and services that an endpoint can serve now. */
    Set<String> targetsOn(EndpointName endpoint);

    /** Returns the attempts in flight that this router started on an endpoint. */
    int inFlight(EndpointName endpoint);
}
