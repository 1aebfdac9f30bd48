package org.foxtailridge.routing.internal;

import java.time.Clock;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;

/** A router over an {@link EndpointDirectory}; a subclass picks among the candidates. */
public abstract class DirectoryRouter implements Router {
    /** Attempts in flight beyond which a router refuses. */
    public static final int DEFAULT_MAXIMUM_ATTEMPTS = 16_384;

    private static final int RETRY_AFTER_SECONDS = 1;

    private final Clock mClock;
    private final int mMaximumAttempts;
    private final EndpointDirectory mDirectory = new EndpointDirectory();
    private final InFlightAttempts mAttempts = new InFlightAttempts();

    /** Creates a router that refuses beyond a number of attempts in flight. */
    protected DirectoryRouter(Clock clock, int maximumAttempts) {
        mClock = Objects.requireNonNull(clock, "clock");
        if (maximumAttempts <= 0) {
            throw new IllegalArgumentException(
                    "maximumAttempts must be above 0 but was " + maximumAttempts);
        }
        mMaximumAttempts = maximumAttempts;
    }

    /**
     * Picks an endpoint.
     *
     * @param candidates endpoints that can serve the request, among them excluded ones
     * @param request the request
     */
    protected abstract RoutingDecision pick(List<EndpointEntry> candidates, RouteRequest request);

    @Override
    public final RoutingDecision choose(RouteRequest request) {
        if (mAttempts.size() >= mMaximumAttempts) {
            return refuse(ErrorKind.OVERLOADED);
        }
        List<EndpointEntry> candidates = mDirectory.candidates(request.target());
        if (!candidates.isEmpty()) {
            return pick(candidates, request);
        }
        if (mDirectory.isLoading(request.target())) {
            return new RoutingDecision.Await();
        }
        return refuse(ErrorKind.NO_ENDPOINT);
    }

    @Override
    public void configure(Configuration configuration) {
        mDirectory.configure(configuration);
    }

    @Override
    public void loadReported(EndpointName endpoint, LoadReport report) {
        EndpointEntry entry = mDirectory.find(endpoint);
        if (entry != null) {
            mDirectory.report(entry, report);
        }
    }

    @Override
    public void cacheChanged(EndpointName endpoint, CacheEventBatch events) {
        Objects.requireNonNull(events, "events");
    }

    @Override
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        EndpointEntry entry = mDirectory.find(endpoint);
        if (entry != null) {
            mDirectory.change(entry, state);
        }
    }

    @Override
    public void attemptStarted(Attempt attempt) {
        EndpointEntry entry = mDirectory.find(attempt.endpoint());
        if (entry != null) {
            int promptTokens = promptTokens(entry, attempt);
            double expected = expectedMilliseconds(entry, attempt);
            mAttempts.start(
                    new InFlightAttempts.InFlight(
                            attempt, entry, nowMilliseconds(), promptTokens, expected));
        }
    }

    @Override
    public void firstTokenArrived(String attemptId) {
        InFlightAttempts.InFlight inFlight = mAttempts.firstToken(attemptId);
        if (inFlight != null) {
            onFirstToken(inFlight);
        }
    }

    @Override
    public void paceObserved(String attemptId, double millisecondsBetweenTokens) {
        InFlightAttempts.InFlight inFlight = mAttempts.find(attemptId);
        if (inFlight != null) {
            onPace(inFlight, millisecondsBetweenTokens);
        }
    }

    @Override
    public void attemptEnded(String attemptId, AttemptOutcome end) {
        InFlightAttempts.InFlight inFlight = mAttempts.end(attemptId, nowMilliseconds());
        if (inFlight != null) {
            onEnd(inFlight, end);
        }
    }

    @Override
    public final Set<String> targetsOn(EndpointName endpoint) {
        EndpointEntry entry = mDirectory.find(endpoint);
        return entry == null ? Set.of() : mDirectory.targetsOn(entry);
    }

    @Override
    public final int inFlight(EndpointName endpoint) {
        EndpointEntry entry = mDirectory.find(endpoint);
        return entry == null ? 0 : entry.inFlight();
    }

    /** Returns the prompt tokens that the endpoint is thought to compute for an attempt. */
    protected int promptTokens(EndpointEntry entry, Attempt attempt) {
        return attempt.request().promptTokens();
    }

    /** Returns the expected time to the first token, in milliseconds; 0 when it isn't estimated. */
    protected double expectedMilliseconds(EndpointEntry entry, Attempt attempt) {
        return 0;
    }

    /** Called once for each attempt at its first token. */
    protected void onFirstToken(InFlightAttempts.InFlight inFlight) {}

    /** Called with the mean time between tokens of an attempt in flight, in milliseconds. */
    protected void onPace(InFlightAttempts.InFlight inFlight, double milliseconds) {}

    /** Called once for each attempt at its end. */
    protected void onEnd(InFlightAttempts.InFlight inFlight, AttemptOutcome end) {}

    /** Returns the endpoints and what is resident on them. */
    protected final EndpointDirectory directory() {
        return mDirectory;
    }

    /** Returns now, in milliseconds since the epoch. */
    protected final long nowMilliseconds() {
        return mClock.millis();
    }

    /** Returns a decision to send a request to an endpoint. */
    protected final RoutingDecision dispatch(
            EndpointEntry entry, RouteRequest request, double expectedMilliseconds) {
        String version = mDirectory.versionOn(entry, request.target());
        boolean fetch = !mDirectory.holdsAdapter(entry, request.target());
        return new RoutingDecision.Dispatch(entry.name(), version, expectedMilliseconds, fetch);
    }

    /** Returns a refusal. */
    protected static RoutingDecision refuse(ErrorKind kind) {
        return new RoutingDecision.Refuse(kind, RETRY_AFTER_SECONDS);
    }

    /** Returns whether the request may go to the endpoint. */
    protected static boolean isAllowed(EndpointEntry entry, RouteRequest request) {
        if (request.excludedEndpoints().contains(entry.name())) {
            return false;
        }
        return !request.isIsolated() || entry.totalInFlight() == 0;
    }
}
