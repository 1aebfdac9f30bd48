package org.foxtailridge.forwarding.node;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.execution.retry.FleetRetryBudget;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.forwarding.front.Forwarder;
import org.foxtailridge.forwarding.front.ForwarderDependencies;
import org.foxtailridge.forwarding.front.RequestLog;
import org.foxtailridge.forwarding.http.CallerServer;
import org.foxtailridge.forwarding.http.ConnectionSettings;
import org.foxtailridge.forwarding.http.EndpointConnections;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.routing.ExpectedTimeRouter;
import org.foxtailridge.routing.RoutingSettings;
import org.foxtailridge.routing.queue.QueueSettings;
import org.foxtailridge.routing.queue.RequestScheduler;

/**
 * Platform node that forwards requests of callers to announced endpoints: it creates the
 * components, connects them, and runs their periodic work.
 *
 * <p>All components run on one event loop: the VMs have less than one core, and no task runs for
 * long. The constructor and all methods are called on it.
 *
 * <pre>{@code
 * ForwardingNode node = new ForwardingNode(settings, loop, clock, externalSystems);
 * node.start().exceptionally(reportFailure);
 * // Completes the requests that were read; then the process may end.
 * loop.execute(() -> node.stop().thenRun(endProcess));
 * }</pre>
 */
public final class ForwardingNode implements NodeStreams.Listener {
    private static final Logger LOGGER = LogManager.getLogger(ForwardingNode.class);
    private static final long TICK_MILLISECONDS = 20;
    // Interval of a node in a large fleet that gives no orders to engines.
    private static final long IDLE_TICK_MILLISECONDS = 50;
    private static final long SLOW_TICK_MILLISECONDS = 100;
    // The platform takes a node out of rotation after two failed readiness probes, 1 s apart.
    private static final long ROTATION_EXIT_MILLISECONDS = 2_300;
    private static final long DRAIN_CHECK_INTERVAL_MILLISECONDS = 50;
    // A new connection carries its first request well within this time.
    private static final Duration IDLE_TIMEOUT_AT_STOP = Duration.ofMillis(400);
    // A stop ends this long before the platform kills the process.
    private static final Duration KILL_MARGIN = Duration.ofMillis(400);
    // Expected computing time of one prompt token.
    private static final double MILLISECONDS_PER_PROMPT_TOKEN = 0.026;
    // Expected delay of a first token by each request that the engine runs.
    private static final double MILLISECONDS_PER_RUNNING_REQUEST = 0.3;
    private static final double TARGET_BETWEEN_TOKENS_MILLISECONDS = 45;
    // Message to the holder of placement orders, order to the engine, load, and the reply.
    private static final double ADAPTER_LOAD_MILLISECONDS = 40;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final ExternalSystems mExternal;
    private final DatagramNetwork mNetwork;
    private final NodeMembership mMembers;
    private final NodeDuties mDuties;
    private final NodeLimits mLimits;
    private final NodePlacement mPlacement;
    private final NodeEndpoints mEndpoints;
    private final NodeLoads mLoads;
    private final NodeDigests mDigests;
    private final NodeStreams mStreams;
    private final FleetRetryBudget mRetries;
    private final NodeCrashes mCrashes;
    private final SignalTime mSignalTime;
    private final EndpointConnections mConnections;
    private final RequestScheduler mScheduler;
    private final Forwarder mForwarder;
    private final CallerServer mCallers;
    private final CallerServer mOperators;
    private final PrometheusMeterRegistry mMeters =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private ForwardingSettings mSettings;
    private boolean mStopping;
    private boolean mOwnRecordPublished;

    /** Creates a node; its ports open with {@link #start}. */
    public ForwardingNode(
            ForwardingSettings settings, EventLoop loop, Clock clock, ExternalSystems external) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mLoop = Objects.requireNonNull(loop, "loop");
        mClock = Objects.requireNonNull(clock, "clock");
        mExternal = Objects.requireNonNull(external, "external");
        long incarnation = clock.millis();
        SplittableRandom random = new SplittableRandom(Objects.hash(settings.name(), incarnation));
        mNetwork = new DatagramNetwork(loop, settings.name(), incarnation);
        mMembers = new NodeMembership(settings, clock, incarnation, mNetwork);
        mDuties = new NodeDuties(settings, clock, external.dutyGroup(), mMembers, mNetwork);
        mLimits = new NodeLimits(settings, clock, incarnation, mNetwork);
        mPlacement =
                new NodePlacement(
                        settings,
                        loop,
                        clock,
                        external.engineControl(),
                        mMembers,
                        mDuties,
                        mNetwork);
        mRetries = new FleetRetryBudget(settings.retries(), clock);
        mCrashes = new NodeCrashes(settings.name(), clock, mMembers, mNetwork);
        mSignalTime = new SignalTime(clock);
        mConnections = new EndpointConnections(loop, ConnectionSettings.defaults(), clock);
        ExpectedTimeRouter router =
                ExpectedTimeRouter.create(clock, routing(settings), incarnation);
        mForwarder = forwarder(random);
        mScheduler =
                RequestScheduler.builder(clock, router, mForwarder)
                        .attemptPrefix(settings.label())
                        .settings(QueueSettings.builder().maximumPreemptions(0).build())
                        .build();
        mForwarder.setScheduler(mScheduler);
        mLoads = new NodeLoads(settings, clock, mMembers, mPlacement::updateDemand);
        mEndpoints = endpoints(router);
        mEndpoints.addListener(mPlacement);
        mStreams =
                new NodeStreams(
                        clock,
                        random,
                        external.keyedLog(),
                        external.configurationDecoder(),
                        mMembers,
                        mNetwork,
                        this);
        mDigests = digests();
        mLoads.attach(mDigests, mForwarder.demand());
        mPlacement.attach(mEndpoints, mDigests);
        mStreams.attach(mDigests);
        mDuties.addListener(mLimits);
        mDuties.addListener(mPlacement);
        mCallers = new CallerServer(loop, mForwarder, clock);
        mOperators =
                new CallerServer(loop, new OperatorRequestHandler(this::isReady, mMeters), clock);
        registerGauges();
    }

    /**
     * Opens the ports and starts the periodic work.
     *
     * @return completes once the ports are open; fails when an address is not available
     */
    public CompletableFuture<Void> start() {
        LogEvent.named("node_started")
                .text("node", mSettings.label())
                .text("name", mSettings.name())
                .text("data_centre", mSettings.dataCentre())
                .text("first_start", mSettings.firstStart())
                .writeTo(LOGGER);
        return CompletableFuture.allOf(
                        mNetwork.bind(mSettings.inner()),
                        mOperators.listen(mSettings.readiness()),
                        mCallers.listen(mSettings.callers()))
                .thenRun(this::startPeriodicWork);
    }

    /**
     * Starts a planned stop: fails the readiness probe, completes the requests that were read, and
     * releases all duties.
     *
     * @return completes when the process may end; a second call returns a future that never does
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (mStopping) {
            return stopped;
        }
        mStopping = true;
        LogEvent.named("node_stopping")
                .number("requests_under_way", mForwarder.underWay())
                .writeTo(LOGGER);
        Instant began = mSignalTime.earliestSending();
        Instant end = began.plus(mSettings.stopTime()).minus(KILL_MARGIN);
        mForwarder.stop(began.plusMillis(ROTATION_EXIT_MILLISECONDS), end);
        mDuties.releaseAll();
        mMembers.leave();
        if (mOwnRecordPublished) {
            mExternal
                    .keyedLog()
                    .put(KeyedStream.NODES, KeyedRecord.tombstone(mSettings.name().value()))
                    .exceptionally(
                            failure -> {
                                LOGGER.warn(
                                        "could not delete the record of this node from the log: {}",
                                        failure.getMessage());
                                return null;
                            });
        }
        // Callers still come until the readiness probes have failed, however late the signal was.
        long untilEnd = Duration.between(mClock.instant(), end).toMillis();
        long untilDrain = Math.max(0, Math.min(ROTATION_EXIT_MILLISECONDS, untilEnd));
        mLoop.schedule(() -> drain(end, stopped), untilDrain, TimeUnit.MILLISECONDS);
        return stopped;
    }

    /**
     * Applies settings that were read again. Requests in flight are not affected. The event {@code
     * settings_reloaded} shows whether some change needs a restart.
     */
    public void reload(ForwardingSettings read) {
        ForwardingSettings next = mSettings.reloaded(read);
        LogEvent.named("settings_reloaded")
                .text("changed", !next.equals(mSettings))
                .text("restart_needed", !next.equals(read))
                .text("seeds", next.seeds())
                .number("stop_ms", next.stopTime().toMillis())
                .writeTo(LOGGER);
        mSettings = next;
        mMembers.addSeeds(next.seeds());
        mRetries.use(next.retries());
    }

    /** Returns whether the node accepts new requests: the result of the readiness probe. */
    public boolean isReady() {
        return !mStopping && mStreams.configuration().isPresent() && mEndpoints.hasEndpoints();
    }

    @Override
    public void configurationChanged(
            Optional<ForwardingConfiguration> former, ForwardingConfiguration current) {
        mEndpoints.configurationChanged(current);
        mPlacement.configurationChanged(current);
        mLimits.configurationChanged(former, current);
        if (mSettings.endsRequestsOfWithdrawnKeys()) {
            mForwarder.endRequestsWithWithdrawnKeys(current);
        }
    }

    @Override
    public void endpointsRead(List<KeyedRecord> records) {
        mEndpoints.applyRecords(records);
    }

    @Override
    public void logUnavailable() {
        mEndpoints.logUnavailable();
    }

    /**
     * Waits until no request is in flight, or until the end of the stop time. Connections are still
     * accepted meanwhile, as the platform sends callers here while too few nodes of the data centre
     * are in rotation.
     */
    private void drain(Instant end, CompletableFuture<Void> stopped) {
        mForwarder.refuseLate();
        mCallers.closeIdle(IDLE_TIMEOUT_AT_STOP);
        boolean timedOut = !mClock.instant().isBefore(end);
        if (mCallers.busyConnections() == 0 || timedOut) {
            int underWay = mForwarder.underWay();
            mForwarder.endAll();
            mCallers.close();
            LogEvent.named("node_stopped").number("requests_under_way", underWay).writeTo(LOGGER);
            stopped.complete(null);
            return;
        }
        mLoop.schedule(
                () -> drain(end, stopped),
                DRAIN_CHECK_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    private void startPeriodicWork() {
        publishOwnRecord();
        PeriodicTasks tasks = new PeriodicTasks(mLoop, mClock, this::wakeUpMilliseconds);
        tasks.add(TICK_MILLISECONDS, mSignalTime::tick);
        tasks.add(TICK_MILLISECONDS, mStreams::tick);
        tasks.add(TICK_MILLISECONDS, () -> mLoads.tick(mEndpoints));
        tasks.add(TICK_MILLISECONDS, mPlacement::tick);
        tasks.add(TokenLimiter.TICK_MILLISECONDS, () -> mLimits.tick(mMembers));
        tasks.add(SLOW_TICK_MILLISECONDS, this::slowTick);
        tasks.start();
    }

    /** Returns the time until the next wake-up; a wake-up costs as much as the work of one tick. */
    private long wakeUpMilliseconds() {
        boolean frequent = NodeDigests.isDirect(mMembers) || mDuties.holds(DutyPartitions.ORDERS);
        return frequent ? TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS;
    }

    private NodeEndpoints endpoints(ExpectedTimeRouter router) {
        return new NodeEndpoints(
                mClock,
                mExternal.announcementDecoder(),
                mMembers,
                mConnections,
                mScheduler,
                router,
                mLoads);
    }

    private NodeDigests digests() {
        return new NodeDigests(
                mSettings,
                mClock,
                mMembers,
                mDuties,
                mNetwork,
                mStreams::positions,
                new FleetListener(mPlacement, mDuties, mStreams));
    }

    private Forwarder forwarder(SplittableRandom random) {
        RequestLog log =
                new RequestLog(
                        mClock,
                        mMeters,
                        () -> configuration().map(ForwardingConfiguration::version).orElse(0L),
                        () -> mSettings.loggedRequestsPerSecond());
        ForwarderDependencies dependencies =
                new ForwarderDependencies(
                        mLoop,
                        mClock,
                        random,
                        mExternal.requestDialect(),
                        mConnections,
                        mLimits.limiter(),
                        mRetries,
                        mCrashes.requests(),
                        mCrashes.prompts(),
                        mPlacement,
                        log);
        return new Forwarder(
                dependencies, new DeferredEndpointRegistry(() -> mEndpoints), this::configuration);
    }

    private Optional<ForwardingConfiguration> configuration() {
        return mStreams.configuration();
    }

    private static RoutingSettings routing(ForwardingSettings settings) {
        return RoutingSettings.builder(settings.dataCentre().value())
                .millisecondsPerPromptToken(MILLISECONDS_PER_PROMPT_TOKEN)
                .millisecondsPerRunningRequest(MILLISECONDS_PER_RUNNING_REQUEST)
                .targetBetweenTokensMilliseconds(TARGET_BETWEEN_TOKENS_MILLISECONDS)
                .adapterLoadMilliseconds(ADAPTER_LOAD_MILLISECONDS)
                .build();
    }

    /** Writes the record of this node into the log, so that other nodes discover it. */
    private void publishOwnRecord() {
        if (mStopping) {
            return;
        }
        mExternal
                .keyedLog()
                .put(KeyedStream.NODES, mMembers.ownRecord())
                .whenComplete(
                        (done, failure) -> {
                            mOwnRecordPublished |= failure == null;
                            if (failure != null) {
                                mLoop.schedule(this::publishOwnRecord, 1, TimeUnit.SECONDS);
                            }
                        });
    }

    private void slowTick() {
        mMembers.tick();
        mDuties.tick();
        mEndpoints.tick();
        if (mCrashes.tick()) {
            mForwarder.refuseHeldBack();
        }
        mRetries.nodes(mMembers.fleetSize());
        mScheduler.tick();
        mCallers.tick();
        mOperators.tick();
        mConnections.tick();
    }

    private void registerGauges() {
        Gauge.builder("foxtailridge_configuration_age_ms", mStreams, NodeStreams::configurationAge)
                .register(mMeters);
        Gauge.builder("foxtailridge_endpoints_age_ms", mStreams, NodeStreams::endpointsAge)
                .register(mMeters);
        Gauge.builder("foxtailridge_requests_under_way", mForwarder, Forwarder::underWay)
                .register(mMeters);
        Gauge.builder("foxtailridge_duties_held", mDuties, NodeDuties::heldCount).register(mMeters);
        Gauge.builder("foxtailridge_live_peers", mMembers, members -> members.peers().size())
                .register(mMeters);
        Gauge.builder("foxtailridge_loads_age_ms", mDigests, NodeDigests::ageMilliseconds)
                .register(mMeters);
        Gauge.builder("foxtailridge_digest_reporters", mDigests, NodeDigests::reporters)
                .register(mMeters);
        Gauge.builder("foxtailridge_caller_connections", mCallers, CallerServer::connections)
                .register(mMeters);
        Gauge.builder(
                        "foxtailridge_endpoint_connections_opened",
                        mConnections,
                        EndpointConnections::opened)
                .register(mMeters);
    }
}
