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
 * A node that forwards requests to announced endpoints.
 *
 * <p>Everything runs on one event loop: the machines have less than one core, and no duty takes
 * long. All methods but {@link #start} are called on it.
 *
 * <pre>{@code
 * ForwardingNode node = new ForwardingNode(settings, loop, clock, platform);
 * node.start();
 * node.stop().join();   // finishes what was read; the process may end then
 * }</pre>
 */
public final class ForwardingNode implements NodeStreams.NodeListener {
    private static final Logger LOGGER = LogManager.getLogger(ForwardingNode.class);
    private static final long TICK_MILLISECONDS = 20;
    private static final long SLOW_TICK_MILLISECONDS = 100;
    // The platform takes a node out of rotation after two questions, one second apart.
    private static final long OUT_OF_ROTATION_MILLISECONDS = 2_300;
    private static final long STOP_CHECK_MILLISECONDS = 50;
    // A new connection brings its first request within a moment.
    private static final Duration IDLE_AT_STOP = Duration.ofMillis(400);
    private static final Duration KILL_MARGIN = Duration.ofMillis(400);
    private static final double MILLISECONDS_PER_PROMPT_TOKEN = 0.026;
    private static final double MILLISECONDS_PER_RUNNING_REQUEST = 0.3;
    private static final double BETWEEN_TOKENS_MILLISECONDS = 45;
    // The message to the giver of orders, the order, the load, and the word back.
    private static final double ADAPTER_FETCH_MILLISECONDS = 40;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final ExternalSystems mOutside;
    private final DatagramNetwork mNetwork;
    private final NodeMembership mMembers;
    private final NodeDuties mDuties;
    private final NodeLimits mLimits;
    private final NodePlacement mPlacement;
    private final NodeEndpoints mEndpoints;
    private final NodeStreams mStreams;
    private final FleetRetryBudget mRetries;
    private final NodeCrashes mCrashes;
    private final EndpointConnections mConnections;
    private final RequestScheduler mScheduler;
    private final Forwarder mForwarder;
    private final CallerServer mCallers;
    private final CallerServer mOperators;
    private final PrometheusMeterRegistry mMeters =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private ForwardingSettings mSettings;
    private boolean mStopping;
    private boolean mEntered;

    /** Creates a node that has not started. */
    public ForwardingNode(
            ForwardingSettings settings, EventLoop loop, Clock clock, ExternalSystems outside) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mLoop = Objects.requireNonNull(loop, "loop");
        mClock = Objects.requireNonNull(clock, "clock");
        mOutside = Objects.requireNonNull(outside, "outside");
        long incarnation = clock.millis();
        SplittableRandom random = new SplittableRandom(Objects.hash(settings.name(), incarnation));
        mNetwork = new DatagramNetwork(loop, settings.name(), incarnation);
        mMembers = new NodeMembership(settings, clock, incarnation, mNetwork);
        mDuties = new NodeDuties(settings, clock, outside.dutyGroup(), mMembers, mNetwork);
        mLimits = new NodeLimits(settings, clock, incarnation, mNetwork);
        mPlacement =
                new NodePlacement(
                        settings,
                        loop,
                        clock,
                        outside.engineControl(),
                        mMembers,
                        mDuties,
                        mNetwork);
        mRetries = new FleetRetryBudget(settings.retries(), clock);
        mCrashes = new NodeCrashes(clock, mMembers, mNetwork);
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
        mEndpoints =
                new NodeEndpoints(
                        clock,
                        outside.announcementDecoder(),
                        mMembers,
                        mConnections,
                        mScheduler,
                        router);
        mEndpoints.listen(mPlacement);
        mPlacement.use(mEndpoints, mForwarder.demand());
        mStreams =
                new NodeStreams(
                        clock,
                        random,
                        outside.keyedLog(),
                        outside.configurationDecoder(),
                        mMembers,
                        mNetwork,
                        this);
        mDuties.listen(mLimits);
        mDuties.listen(mPlacement);
        mCallers = new CallerServer(loop, mForwarder, clock);
        mOperators = new CallerServer(loop, new OperatorFront(this::isReady, mMeters), clock);
        registerGauges();
    }

    /** Starts to listen and to learn; from any thread. */
    public void start() {
        LogEvent.named("node_started")
                .text("node", mSettings.label())
                .text("name", mSettings.name())
                .text("data_centre", mSettings.dataCentre())
                .text("first_start", mSettings.firstStart())
                .writeTo(LOGGER);
        mNetwork.bind(mSettings.inner());
        mOperators.listen(mSettings.readiness());
        mCallers.listen(mSettings.callers());
        mLoop.execute(this::enter);
        every(TICK_MILLISECONDS, this::tick);
        every(TokenLimiter.TICK_MILLISECONDS, () -> mLimits.tick(mMembers));
        every(SLOW_TICK_MILLISECONDS, this::slowTick);
    }

    /**
     * Begins a planned stop: leaves the rotation, finishes what was read, hands duties on.
     *
     * @return completes when the process may end
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
        Instant began = mClock.instant();
        Instant end = began.plus(mSettings.stopTime()).minus(KILL_MARGIN);
        mForwarder.stop(began.plusMillis(OUT_OF_ROTATION_MILLISECONDS), end);
        mDuties.giveUpAll();
        mMembers.leave();
        if (mEntered) {
            mOutside.keyedLog()
                    .put(KeyedStream.NODES, KeyedRecord.tombstone(mSettings.name().value()))
                    .exceptionally(
                            failure -> {
                                LOGGER.warn("not signed off: {}", failure.getMessage());
                                return null;
                            });
        }
        mLoop.schedule(
                () -> drain(end, stopped), OUT_OF_ROTATION_MILLISECONDS, TimeUnit.MILLISECONDS);
        return stopped;
    }

    /**
     * Takes settings that were read anew. Requests under way are not touched; what takes effect at
     * the next start only is said in the log.
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
        mMembers.seeds(next.seeds());
        mRetries.use(next.retries());
    }

    /** Returns whether new connections are welcome. */
    public boolean isReady() {
        return !mStopping && mStreams.configuration().isPresent() && mEndpoints.hasEndpoints();
    }

    @Override
    public void configurationChanged(
            Optional<ForwardingConfiguration> former, ForwardingConfiguration current) {
        mEndpoints.configurationChanged(current);
        mPlacement.configurationChanged(current);
        mLimits.configurationChanged(former, current);
        if (mSettings.cutsWithdrawnKeys()) {
            mForwarder.endRequestsWithWithdrawnKeys(current);
        }
    }

    @Override
    public void endpointsRead(List<KeyedRecord> records) {
        mEndpoints.apply(records);
    }

    @Override
    public void logDisturbed() {
        mEndpoints.logDisturbed();
    }

    /**
     * Finishes what is under way. Connections are still accepted, as the platform sends callers
     * here while too few nodes of the data centre are in rotation.
     */
    private void drain(Instant end, CompletableFuture<Void> stopped) {
        mCallers.closeIdle(IDLE_AT_STOP);
        boolean late = !mClock.instant().isBefore(end);
        if (mCallers.busyConnections() == 0 || late) {
            mCallers.stopListening();
            LogEvent.named("node_stopped")
                    .number("requests_under_way", mForwarder.underWay())
                    .writeTo(LOGGER);
            stopped.complete(null);
            return;
        }
        mLoop.schedule(() -> drain(end, stopped), STOP_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private Forwarder forwarder(SplittableRandom random) {
        RequestLog log =
                new RequestLog(
                        mClock,
                        mMeters,
                        () -> configuration().map(ForwardingConfiguration::version).orElse(0L),
                        () -> mSettings.loggedRequestsPerSecond());
        ForwarderDependencies parts =
                new ForwarderDependencies(
                        mLoop,
                        mClock,
                        random,
                        mOutside.requestDialect(),
                        mConnections,
                        mLimits.limiter(),
                        mRetries,
                        mCrashes.ledger(),
                        mPlacement,
                        log);
        return new Forwarder(parts, new LateRoster(() -> mEndpoints), this::configuration);
    }

    private Optional<ForwardingConfiguration> configuration() {
        return mStreams.configuration();
    }

    private static RoutingSettings routing(ForwardingSettings settings) {
        return RoutingSettings.builder(settings.dataCentre().value())
                .millisecondsPerPromptToken(MILLISECONDS_PER_PROMPT_TOKEN)
                .millisecondsPerRunningRequest(MILLISECONDS_PER_RUNNING_REQUEST)
                .targetBetweenTokensMilliseconds(BETWEEN_TOKENS_MILLISECONDS)
                .adapterLoadMilliseconds(ADAPTER_FETCH_MILLISECONDS)
                .build();
    }

    /** Tells the other nodes, through the log, where this one is. */
    private void enter() {
        if (mStopping) {
            return;
        }
        mOutside.keyedLog()
                .put(KeyedStream.NODES, mMembers.ownRecord())
                .whenComplete(
                        (done, failure) -> {
                            mEntered |= failure == null;
                            if (failure != null) {
                                mLoop.schedule(this::enter, 1, TimeUnit.SECONDS);
                            }
                        });
    }

    private void tick() {
        mStreams.tick();
        mPlacement.tick();
    }

    private void slowTick() {
        mMembers.tick();
        mDuties.tick();
        mEndpoints.tick();
        mCrashes.ledger().tick();
        mRetries.nodes(mMembers.fleetSize());
        mScheduler.tick();
        mCallers.tick();
        mOperators.tick();
        mConnections.tick();
    }

    private void every(long milliseconds, Runnable duty) {
        mLoop.scheduleWithFixedDelay(
                () -> {
                    try {
                        duty.run();
                    } catch (RuntimeException defect) {
                        LOGGER.error("a tick failed", defect);
                    }
                },
                milliseconds,
                milliseconds,
                TimeUnit.MILLISECONDS);
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
        Gauge.builder("foxtailridge_caller_connections", mCallers, CallerServer::connections)
                .register(mMeters);
        Gauge.builder(
                        "foxtailridge_endpoint_connections_opened",
                        mConnections,
                        EndpointConnections::opened)
                .register(mMeters);
    }
}
