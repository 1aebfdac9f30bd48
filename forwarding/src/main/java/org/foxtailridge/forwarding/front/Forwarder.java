package org.foxtailridge.forwarding.front;

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
 * Handles the requests of callers: resolves each one, submits it to the queue and forwards it to
 * the endpoint that the queue chooses.
 *
 * <p>Confined to one event loop; calls of the scheduler are moved to it.
 *
 * <pre>{@code
 * Forwarder forwarder = new Forwarder(dependencies, registry, () -> configurationInForce);
 * forwarder.setScheduler(RequestScheduler.builder(clock, router, forwarder).build());
 * new CallerServer(loop, forwarder, clock).listen(address);
 * }</pre>
 */
public final class Forwarder implements CallerHandler, SchedulerOutbox {
    private static final Logger LOGGER = LogManager.getLogger(Forwarder.class);
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long UNKNOWN_RETRY_AFTER_MILLISECONDS = 0;
    // Splits the time until dispatch evenly between waiting for tokens and for an endpoint.
    private static final int TOKEN_WAIT_DIVISOR = 2;
    private static final Set<ErrorKind> CAPACITY_ERRORS =
            EnumSet.of(ErrorKind.NO_ENDPOINT, ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.OVERLOADED);

    private final ForwarderDependencies mDependencies;
    private final EndpointRegistry mRegistry;
    private final Supplier<Optional<ForwardingConfiguration>> mConfiguration;
    private final Map<String, ForwardedRequest> mRequests = new HashMap<>();
    private final ForwardedDemand mDemand;
    private final RetryAfterRule mRetryAfter;
    private final StreamPace mPace;
    private final AnswerBuffers mAnswerBuffers;
    private RequestScheduler mScheduler;
    private long mNextRunNumber;
    private Optional<StopRule> mStopRule = Optional.empty();

    /**
     * Creates a forwarder without a queue.
     *
     * @param dependencies collaborators
     * @param registry registry of endpoints
     * @param configuration supplies the configuration in force; empty until one has been read
     */
    public Forwarder(
            ForwarderDependencies dependencies,
            EndpointRegistry registry,
            Supplier<Optional<ForwardingConfiguration>> configuration) {
        this(
                dependencies,
                registry,
                configuration,
                AnswerBuffers.forHeap(Runtime.getRuntime().maxMemory()));
    }

    Forwarder(
            ForwarderDependencies dependencies,
            EndpointRegistry registry,
            Supplier<Optional<ForwardingConfiguration>> configuration,
            AnswerBuffers answerBuffers) {
        mDependencies = Objects.requireNonNull(dependencies, "dependencies");
        mRegistry = Objects.requireNonNull(registry, "registry");
        mConfiguration = Objects.requireNonNull(configuration, "configuration");
        mDemand = new ForwardedDemand(dependencies.clock());
        mRetryAfter = new RetryAfterRule(dependencies.random());
        mPace = new StreamPace(dependencies.clock());
        mAnswerBuffers = Objects.requireNonNull(answerBuffers, "answerBuffers");
    }

    /** Sets the queue; must be called before the first request. */
    public void setScheduler(RequestScheduler scheduler) {
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** Returns the measured demand for models and adapters. */
    public ForwardedDemand demand() {
        return mDemand;
    }

    /**
     * Starts a planned stop: each connection is closed after its current answer.
     *
     * @param acceptAllUntil instant until which every request is accepted
     * @param end latest instant of the process's exit; from {@code acceptAllUntil} on, requests
     *     that are not expected to end before are refused, also if they wait already
     */
    public void stop(Instant acceptAllUntil, Instant end) {
        mStopRule =
                Optional.of(new StopRule(acceptAllUntil.toEpochMilli(), end.toEpochMilli(), mPace));
    }

    /** Returns the number of accepted requests that have not ended. */
    public int underWay() {
        return mRequests.size();
    }

    /** Ends the requests whose API keys a new configuration no longer contains. */
    public void endRequestsWithWithdrawnKeys(ForwardingConfiguration configuration) {
        for (ForwardedRequest request : List.copyOf(mRequests.values())) {
            ResolvedRequest resolved = request.resolved();
            boolean hasAccount = resolved.account().isPresent();
            boolean isKeyValid =
                    resolved.metadata().key().flatMap(configuration::accountOfKey).isPresent();
            if (hasAccount && !isKeyValid) {
                request.stateMachine().keyWithdrawn();
            }
        }
    }

    /** Refuses the requests that wait and have a part that is held back since they arrived. */
    public void refuseHeldBack() {
        for (ForwardedRequest request : List.copyOf(mRequests.values())) {
            long heldBack = request.crashes().heldBackForPromptMilliseconds();
            if (heldBack > 0) {
                request.stateMachine().heldBack(heldBack);
            }
        }
    }

    /** Refuses the requests that wait and can no longer end before the process exits. */
    public void refuseLate() {
        for (ForwardedRequest request : List.copyOf(mRequests.values())) {
            request.stateMachine().refuseIfLate();
        }
    }

    /** Ends all requests at the end of a planned stop: answers each whose answer has not begun. */
    public void endAll() {
        for (ForwardedRequest request : List.copyOf(mRequests.values())) {
            request.stateMachine().nodeExits();
        }
    }

    @Override
    public void handle(CallerExchange exchange) {
        RequestMetadata metadata;
        try {
            metadata = mDependencies.dialect().readRequest(exchange.head());
        } catch (MalformedHeadException malformed) {
            refuseMalformed(exchange, malformed);
            return;
        }
        Optional<ForwardingConfiguration> configuration = mConfiguration.get();
        if (configuration.isEmpty()) {
            refuse(exchange, metadata, ErrorKind.NOT_READY, "no configuration has been read yet");
            return;
        }
        RequestResolution resolution =
                new RequestResolver(configuration.get(), mDependencies.random())
                        .resolve(metadata, exchange, "r" + mNextRunNumber++);
        if (resolution.resolved().isEmpty()) {
            refuse(exchange, metadata, resolution.refusal(), resolution.reason());
            return;
        }
        ResolvedRequest resolved = resolution.resolved().get();
        if (!canEndInTime(resolved)) {
            refuse(
                    exchange,
                    metadata,
                    ErrorKind.STOPPING,
                    "node stops before the request could end");
            return;
        }
        ForwardedRequest request = new ForwardedRequest(this, mDependencies, exchange, resolved);
        long heldBack = request.crashes().heldBackMilliseconds();
        if (heldBack > 0) {
            refuse(
                    exchange,
                    metadata,
                    ErrorKind.NO_ENDPOINT,
                    "request is held back because endpoints were lost while running it",
                    heldBack);
            return;
        }
        mDependencies.retries().requested(resolved.service());
        mRequests.put(resolved.runId(), request);
        mDemand.recordArrival(resolved);
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
        return mStopRule.isPresent();
    }

    @Override
    public void refused(ErrorKind kind, String reason) {
        mDependencies.log().refusedMalformed(kind, reason);
    }

    @Override
    public void dispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
        mDependencies.loop().execute(() -> dispatchNow(attempt, decision));
    }

    @Override
    public void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds) {
        // RetryAfterRule computes the retry time; the one of the queue is not used.
        mDependencies
                .loop()
                .execute(
                        () -> {
                            ForwardedRequest waiting = mRequests.get(request.requestId());
                            if (waiting != null) {
                                waiting.stateMachine()
                                        .refusedByQueue(kind, UNKNOWN_RETRY_AFTER_MILLISECONDS);
                            }
                        });
    }

    @Override
    public void preempt(Attempt attempt) {
        // Engines preempt by priority themselves; the queue is configured without preemption.
        LOGGER.warn(
                "queue requested preemption of attempt {}; ignored, the attempt continues",
                attempt.attemptId());
    }

    EndpointRegistry registry() {
        return mRegistry;
    }

    void reserve(ForwardedRequest request) {
        ResolvedRequest resolved = request.resolved();
        mDependencies
                .limiter()
                .reserve(
                        ClientAccountName.of(resolved.accountName()),
                        resolved.countedTokens(),
                        maximumTokenWait(resolved),
                        admission -> mDependencies.loop().execute(() -> admit(request, admission)));
    }

    /**
     * Returns how long a request may wait for tokens: half of the time until its dispatch deadline.
     */
    private Duration maximumTokenWait(ResolvedRequest resolved) {
        long remaining = resolved.dispatchDeadlineMilliseconds() - mDependencies.clock().millis();
        return Duration.ofMillis(Math.max(0, remaining / TOKEN_WAIT_DIVISOR));
    }

    void submit(ForwardedRequest request, Set<EndpointName> excluded, boolean mayHaveRun) {
        ResolvedRequest resolved = request.resolved();
        Optional<ForwardingService> service =
                mConfiguration.get().flatMap(configured -> configured.service(resolved.service()));
        if (service.isEmpty()) {
            mDependencies
                    .loop()
                    .execute(
                            () ->
                                    request.stateMachine()
                                            .refusedByQueue(
                                                    ErrorKind.NO_ENDPOINT,
                                                    UNKNOWN_RETRY_AFTER_MILLISECONDS));
            return;
        }
        RequestMetadata metadata = resolved.metadata();
        int output = metadata.maximumOutputTokens().orElse(0);
        mScheduler.submit(
                RouteRequest.builder(
                                resolved.runId(), RequestTargets.targetOf(service.get(), metadata))
                        .clientAccount(resolved.accountName())
                        .promptTokens(metadata.promptTokens().orElse(0))
                        .maximumTokens(
                                Math.min(output, metadata.expectedOutputTokens().orElse(output)))
                        .prefixes(RequestTargets.prefixesOf(metadata))
                        .deadline(Instant.ofEpochMilli(resolved.dispatchDeadlineMilliseconds()))
                        .excludedEndpoints(excluded)
                        .mayHaveBegun(mayHaveRun)
                        .build());
    }

    void withdraw(String runId) {
        mScheduler.cancel(runId);
    }

    void attemptEnded(Attempt attempt, AttemptOutcome outcome, int events) {
        mScheduler.attemptEnded(attempt.attemptId(), outcome, events);
    }

    /** Returns whether a request that is sent now is expected to end before a planned stop does. */
    boolean canEndInTime(ResolvedRequest resolved) {
        long now = mDependencies.clock().millis();
        return mStopRule.map(rule -> rule.accepts(resolved, now)).orElse(true);
    }

    AnswerBuffers answerBuffers() {
        return mAnswerBuffers;
    }

    StreamPace pace() {
        return mPace;
    }

    void firstTokenArrived(Attempt attempt) {
        mScheduler.firstTokenArrived(attempt.attemptId());
    }

    void ended(ForwardedRequest request) {
        mRequests.remove(request.resolved().runId());
        mDemand.recordEnd(request.resolved());
    }

    /** Answers an accepted request with an error of this node. */
    void fail(
            CallerExchange exchange,
            ResolvedRequest resolved,
            ErrorKind kind,
            long retryAfterMilliseconds) {
        if (CAPACITY_ERRORS.contains(kind)) {
            mDemand.recordUnserved(resolved);
        }
        long hint =
                mRetryAfter.milliseconds(
                        resolved, kind, retryAfterMilliseconds, mDependencies.clock().millis());
        answer(exchange, resolved.metadata(), kind, hint);
    }

    private void answer(
            CallerExchange exchange,
            RequestMetadata metadata,
            ErrorKind kind,
            long retryAfterMilliseconds) {
        ErrorAnswer answer = ErrorTable.answerTo(kind);
        byte[] body = ErrorBody.of(kind, "request " + metadata.requestId());
        OptionalLong retryAfter =
                answer.retryAfterSeconds().isEmpty()
                        ? OptionalLong.empty()
                        : OptionalLong.of(
                                retryAfterMilliseconds > 0
                                        ? retryAfterMilliseconds
                                        : RetryAfterRule.SHORT_MILLISECONDS);
        answer(exchange, answer.status(), retryAfter, body);
    }

    private static void answer(
            CallerExchange exchange, int status, OptionalLong retryAfter, byte[] body) {
        exchange.begin(
                status,
                HttpResponseStatus.valueOf(status).reasonPhrase(),
                ErrorBody.headers(retryAfter),
                OptionalLong.of(body.length));
        exchange.write(Unpooled.wrappedBuffer(body));
        exchange.end();
    }

    private void refuse(
            CallerExchange exchange, RequestMetadata metadata, ErrorKind kind, String reason) {
        refuse(exchange, metadata, kind, reason, UNKNOWN_RETRY_AFTER_MILLISECONDS);
    }

    private void refuse(
            CallerExchange exchange,
            RequestMetadata metadata,
            ErrorKind kind,
            String reason,
            long retryAfterMilliseconds) {
        mDependencies.log().refused(metadata, kind, reason);
        answer(exchange, metadata, kind, retryAfterMilliseconds);
    }

    private void refuseMalformed(CallerExchange exchange, MalformedHeadException malformed) {
        mDependencies.log().refusedMalformed(malformed.kind(), malformed.getMessage());
        byte[] body = ErrorBody.of(malformed.kind(), malformed.getMessage());
        answer(exchange, malformed.answer().status(), OptionalLong.empty(), body);
    }

    private void admit(ForwardedRequest request, Admission admission) {
        if (admission instanceof Admission.Granted granted) {
            request.tokensGranted(granted.reservation());
        } else if (admission instanceof Admission.Refused refused) {
            request.tokensRefused(ErrorKind.RATE_EXCEEDED, refused.retryAfter().toMillis());
        } else if (admission instanceof Admission.LargerThanBurst) {
            request.tokensRefused(ErrorKind.RATE_EXCEEDED, MILLISECONDS_PER_SECOND);
        } else if (admission instanceof Admission.Overloaded) {
            request.tokensRefused(ErrorKind.OVERLOADED, UNKNOWN_RETRY_AFTER_MILLISECONDS);
        } else {
            request.tokensRefused(ErrorKind.NOT_READY, UNKNOWN_RETRY_AFTER_MILLISECONDS);
        }
    }

    private void dispatchNow(Attempt attempt, RoutingDecision.Dispatch decision) {
        ForwardedRequest request = mRequests.get(attempt.request().requestId());
        if (request == null) {
            mScheduler.attemptEnded(attempt.attemptId(), AttemptOutcome.CANCELLED, 0);
            return;
        }
        long heldBack = request.crashes().heldBackForPromptMilliseconds();
        if (heldBack > 0) {
            mScheduler.attemptEnded(attempt.attemptId(), AttemptOutcome.CANCELLED, 0);
            request.stateMachine().heldBack(heldBack);
            return;
        }
        request.dispatched(attempt, decision);
    }
}
