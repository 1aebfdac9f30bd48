package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.ErrorAnswer;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.execution.quarantine.Fingerprint;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.forwarding.configuration.ForwardingService;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.http.CallerHandler;
import org.foxtailridge.forwarding.http.ErrorBody;
import org.foxtailridge.forwarding.http.MalformedHeadException;
import org.foxtailridge.forwarding.request.RequestMetadata;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.queue.RequestScheduler;
import org.foxtailridge.routing.queue.SchedulerOutbox;

/**
 * Takes requests of callers and sees each through to its end.
 *
 * <p>Confined to one event loop.
 *
 * <pre>{@code
 * Forwarder forwarder = new Forwarder(parts, roster, () -> configurationInForce);
 * forwarder.use(RequestScheduler.builder(clock, router, forwarder).build());
 * new CallerServer(loop, forwarder, clock).listen(address);
 * }</pre>
 */
public final class Forwarder implements CallerHandler, SchedulerOutbox {
    private static final Logger LOGGER = LogManager.getLogger(Forwarder.class);
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long TIME_UNKNOWN = 0;
    // Leaves as much for the queue of the endpoints as for the queue of the limit.
    private static final int TOKENS_SHARE_DIVISOR = 2;
    private static final Set<ErrorKind> WANT_OF_ROOM =
            EnumSet.of(ErrorKind.NO_ENDPOINT, ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.OVERLOADED);

    private final ForwarderDependencies mParts;
    private final EndpointRegistry mRoster;
    private final Supplier<Optional<ForwardingConfiguration>> mConfiguration;
    private final Map<String, ForwardedRequest> mRequests = new HashMap<>();
    private final ForwardedDemand mDemand;
    private final RetryAfterRule mRetryAfter;
    private RequestScheduler mScheduler;
    private long mNextRun;
    private Optional<StopRule> mStop = Optional.empty();

    /**
     * Creates a forwarder without a queue.
     *
     * @param parts what it works with
     * @param roster where endpoints are
     * @param configuration the configuration in force; empty while none is known
     */
    public Forwarder(
            ForwarderDependencies parts,
            EndpointRegistry roster,
            Supplier<Optional<ForwardingConfiguration>> configuration) {
        mParts = Objects.requireNonNull(parts, "parts");
        mRoster = Objects.requireNonNull(roster, "roster");
        mConfiguration = Objects.requireNonNull(configuration, "configuration");
        mDemand = new ForwardedDemand(parts.clock());
        mRetryAfter = new RetryAfterRule(parts.random());
    }

    /** Sets the queue; before the first request. */
    public void setScheduler(RequestScheduler scheduler) {
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** Returns what requests ask for. */
    public ForwardedDemand demand() {
        return mDemand;
    }

    /**
     * Begins a planned stop: answers close their connections.
     *
     * @param allUntil until when every request is begun
     * @param end when the process ends at the latest; requests that last longer are refused
     */
    public void stop(Instant allUntil, Instant end) {
        mStop = Optional.of(new StopRule(allUntil.toEpochMilli(), end.toEpochMilli()));
    }

    /** Returns the number of requests under way. */
    public int underWay() {
        return mRequests.size();
    }

    /** Ends the requests whose keys a new configuration does not hold any more. */
    public void endRequestsWithWithdrawnKeys(ForwardingConfiguration configuration) {
        for (ForwardedRequest request : List.copyOf(mRequests.values())) {
            ResolvedRequest terms = request.terms();
            boolean keyed = terms.account().isPresent();
            boolean held = terms.metadata().key().flatMap(configuration::accountOfKey).isPresent();
            if (keyed && !held) {
                request.life().keyWithdrawn();
            }
        }
    }

    @Override
    public void handle(CallerExchange exchange) {
        RequestMetadata facts;
        try {
            facts = mParts.dialect().readRequest(exchange.head());
        } catch (MalformedHeadException malformed) {
            refusedUnread(exchange, malformed);
            return;
        }
        Optional<ForwardingConfiguration> configuration = mConfiguration.get();
        if (configuration.isEmpty()) {
            refuse(exchange, facts, ErrorKind.NOT_READY, "no configuration is known yet");
            return;
        }
        RequestResolution decision =
                new RequestResolver(configuration.get(), mParts.random())
                        .decide(facts, exchange, "r" + mNextRun++);
        if (decision.terms().isEmpty()) {
            refuse(exchange, facts, decision.refusal(), decision.reason());
            return;
        }
        ResolvedRequest terms = decision.terms().get();
        long now = mParts.clock().millis();
        if (mStop.isPresent() && !mStop.get().mayBegin(terms, now)) {
            refuse(exchange, facts, ErrorKind.STOPPING, "the node stops before it could end");
            return;
        }
        long heldBack = heldBackMilliseconds(terms, exchange);
        if (heldBack > 0) {
            refuse(exchange, facts, ErrorKind.NO_ENDPOINT, "endpoints were lost with it", heldBack);
            return;
        }
        mParts.retries().requested(terms.service());
        ForwardedRequest request = new ForwardedRequest(this, mParts, exchange, terms);
        mRequests.put(terms.runId(), request);
        mDemand.arrived(terms);
        request.start();
    }

    @Override
    public CallerLimits limits() {
        return mConfiguration
                .get()
                .map(ForwardingConfiguration::callerLimits)
                .orElse(CallerLimits.DEFAULTS);
    }

    @Override
    public boolean isStopping() {
        return mStop.isPresent();
    }

    @Override
    public void refused(ErrorKind kind, String reason) {
        mParts.log().refusedUnread(kind, reason);
    }

    @Override
    public void dispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
        mParts.loop().execute(() -> dispatchNow(attempt, decision));
    }

    @Override
    public void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds) {
        mParts.loop()
                .execute(
                        () -> {
                            ForwardedRequest waiting = mRequests.get(request.requestId());
                            if (waiting != null) {
                                waiting.life().refused(kind, TIME_UNKNOWN);
                            }
                        });
    }

    @Override
    public void preempt(Attempt attempt) {
        // Engines preempt by rank themselves; the queue is set up to cancel nothing.
        LOGGER.warn("the queue asked to cancel attempt {}; it goes on", attempt.attemptId());
    }

    /** Returns for how long a request is not to run, as it crashed endpoints; 0 when it may. */
    long heldBackMilliseconds(ResolvedRequest terms, CallerExchange exchange) {
        return mParts.crashes().isEmpty()
                ? 0
                : mParts.crashes().heldBackMilliseconds(fingerprint(terms, exchange));
    }

    static Fingerprint fingerprint(ResolvedRequest terms, CallerExchange exchange) {
        byte[] body = ByteBufUtil.getBytes(exchange.body());
        return Fingerprint.of(terms.accountName(), terms.metadata().target(), body);
    }

    EndpointRegistry registry() {
        return mRoster;
    }

    void reserve(ForwardedRequest request) {
        ResolvedRequest terms = request.terms();
        mParts.limiter()
                .reserve(
                        ClientAccountName.of(terms.accountName()),
                        terms.countedTokens(),
                        patienceForTokens(terms),
                        admission -> mParts.loop().execute(() -> admit(request, admission)));
    }

    /** Returns for how long a request may wait for tokens: half of what it has for an endpoint. */
    private Duration patienceForTokens(ResolvedRequest terms) {
        long left = terms.startByMilliseconds() - mParts.clock().millis();
        return Duration.ofMillis(Math.max(0, left / TOKENS_SHARE_DIVISOR));
    }

    void submit(ForwardedRequest request, Set<EndpointName> excluded, boolean begun) {
        ResolvedRequest terms = request.terms();
        Optional<ForwardingService> service =
                mConfiguration.get().flatMap(known -> known.service(terms.service()));
        if (service.isEmpty()) {
            mParts.loop()
                    .execute(() -> request.life().refused(ErrorKind.NO_ENDPOINT, TIME_UNKNOWN));
            return;
        }
        RequestMetadata facts = terms.metadata();
        int output = facts.maximumOutputTokens().orElse(0);
        mScheduler.submit(
                RouteRequest.builder(terms.runId(), RequestTargets.targetOf(service.get(), facts))
                        .clientAccount(terms.accountName())
                        .promptTokens(facts.promptTokens().orElse(0))
                        .maximumTokens(
                                Math.min(output, facts.expectedOutputTokens().orElse(output)))
                        .prefixes(RequestTargets.prefixesOf(facts))
                        .deadline(Instant.ofEpochMilli(terms.startByMilliseconds()))
                        .excludedEndpoints(excluded)
                        .mayHaveBegun(begun)
                        .build());
    }

    void withdraw(String runId) {
        mScheduler.cancel(runId);
    }

    void attemptEnded(Attempt attempt, AttemptOutcome end, int events) {
        mScheduler.attemptEnded(attempt.attemptId(), end, events);
    }

    void firstTokenArrived(Attempt attempt) {
        mScheduler.firstTokenArrived(attempt.attemptId());
    }

    void ended(ForwardedRequest request) {
        mRequests.remove(request.terms().runId());
        mDemand.ended(request.terms());
    }

    /** Answers a request that was taken on with a failure of this node. */
    void fail(CallerExchange exchange, ResolvedRequest terms, ErrorKind kind, long retryAfterMs) {
        if (WANT_OF_ROOM.contains(kind)) {
            mDemand.unserved(terms);
        }
        long hint = mRetryAfter.milliseconds(terms, kind, retryAfterMs, mParts.clock().millis());
        answer(exchange, terms.metadata(), kind, hint);
    }

    private void answer(
            CallerExchange exchange, RequestMetadata facts, ErrorKind kind, long retryAfterMs) {
        ErrorAnswer answer = ErrorTable.answerTo(kind);
        byte[] body = ErrorBody.of(kind, "request " + facts.requestId());
        OptionalLong retryAfter =
                answer.retryAfterSeconds().isEmpty()
                        ? OptionalLong.empty()
                        : OptionalLong.of(
                                retryAfterMs > 0
                                        ? retryAfterMs
                                        : RetryAfterRule.SHORT_MILLISECONDS);
        answer(exchange, answer.status(), retryAfter, body);
    }

    private static void answer(
            CallerExchange exchange, int status, OptionalLong retryAfter, byte[] body) {
        exchange.begin(
                status,
                HttpResponseStatus.valueOf(status).reasonPhrase(),
                ForwardedRequest.failureHeaders(retryAfter),
                OptionalLong.of(body.length));
        exchange.write(Unpooled.wrappedBuffer(body));
        exchange.end();
    }

    private void refuse(
            CallerExchange exchange, RequestMetadata facts, ErrorKind kind, String reason) {
        refuse(exchange, facts, kind, reason, TIME_UNKNOWN);
    }

    private void refuse(
            CallerExchange exchange,
            RequestMetadata facts,
            ErrorKind kind,
            String reason,
            long retryAfterMs) {
        mParts.log().refused(facts, kind, reason);
        answer(exchange, facts, kind, retryAfterMs);
    }

    private void refusedUnread(CallerExchange exchange, MalformedHeadException malformed) {
        mParts.log().refusedUnread(malformed.kind(), malformed.getMessage());
        byte[] body = ErrorBody.of(malformed.kind(), malformed.getMessage());
        answer(exchange, malformed.answer().status(), OptionalLong.empty(), body);
    }

    private void admit(ForwardedRequest request, Admission admission) {
        if (admission instanceof Admission.Granted granted) {
            request.granted(granted.reservation());
        } else if (admission instanceof Admission.Refused refused) {
            request.tokensRefused(ErrorKind.RATE_EXCEEDED, refused.retryAfter().toMillis());
        } else if (admission instanceof Admission.LargerThanBurst) {
            request.tokensRefused(ErrorKind.RATE_EXCEEDED, MILLISECONDS_PER_SECOND);
        } else if (admission instanceof Admission.Overloaded) {
            request.tokensRefused(ErrorKind.OVERLOADED, TIME_UNKNOWN);
        } else {
            request.tokensRefused(ErrorKind.NOT_READY, TIME_UNKNOWN);
        }
    }

    private void dispatchNow(Attempt attempt, RoutingDecision.Dispatch decision) {
        ForwardedRequest request = mRequests.get(attempt.request().requestId());
        if (request == null) {
            mScheduler.attemptEnded(attempt.attemptId(), AttemptOutcome.CANCELLED, 0);
            return;
        }
        request.dispatched(attempt, decision);
    }
}
