package org.foxtailridge.forwarding.front;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.execution.crash.CrashLedger;
import org.foxtailridge.execution.crash.PromptCrashLedger;
import org.foxtailridge.execution.retry.FleetRetryBudget;
import org.foxtailridge.execution.retry.FleetRetrySettings;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;
import org.foxtailridge.forwarding.configuration.ForwardingService;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.configuration.WeightedService;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.http.CallerServer;
import org.foxtailridge.forwarding.http.ConnectionSettings;
import org.foxtailridge.forwarding.http.EndpointConnections;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.grant.GrantLimiter;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.queue.RequestScheduler;

/**
 * Forwarder on loopback sockets with the real connections to callers and endpoints. Each request
 * goes to the endpoints in the order in which they were added. Requests to {@code /stream/} are
 * streams that may be resumed, others may be repeated.
 */
final class LoopbackForwarder implements AutoCloseable {
    /** Heap of a node that runs with -Xmx96m. */
    static final long NODE_HEAP_BYTES = 96L * 1024 * 1024;

    private static final int CONNECTIONS = 1_000;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final Clock mClock = MonotonicClock.start();
    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private final Map<EndpointName, EndpointAddress> mEndpoints =
            Collections.synchronizedMap(new LinkedHashMap<>());
    private final Forwarder mForwarder;
    private final CallerServer mServer;

    /** Starts a forwarder whose routes have a timeout, in a process with a small heap. */
    LoopbackForwarder(Duration timeout) {
        this(timeout, NODE_HEAP_BYTES);
    }

    LoopbackForwarder(Duration timeout, long heapBytes) {
        ForwardingConfiguration configuration =
                ForwardingConfiguration.builder(1)
                        .route(route("/stream/", RequestKind.STREAM, timeout))
                        .route(route("/plain/", RequestKind.IDEMPOTENT, timeout))
                        .service(
                                new ForwardingService(
                                        "service", "/health", CONNECTIONS, Optional.empty()))
                        .build();
        mForwarder =
                new Forwarder(
                        dependencies(),
                        new Registry(),
                        () -> Optional.of(configuration),
                        AnswerBuffers.forHeap(heapBytes));
        mForwarder.setScheduler(
                RequestScheduler.builder(mClock, new OrderedRouter(), mForwarder).build());
        mServer = new CallerServer(mLoop, mForwarder, mClock);
        mServer.listen(new InetSocketAddress("127.0.0.1", 0)).join();
    }

    /** Adds an endpoint behind those that were added before. */
    LoopbackForwarder endpoint(EndpointAddress address) {
        mEndpoints.put(EndpointName.of("endpoint-" + mEndpoints.size()), address);
        return this;
    }

    /** Replaces the endpoints by one. */
    void onlyEndpoint(EndpointAddress address) {
        mEndpoints.clear();
        endpoint(address);
    }

    InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns the sum of a counter over all values of its tags. */
    double counted(String counter) {
        return mMeters.find(counter).counters().stream().mapToDouble(Counter::count).sum();
    }

    int underWay() {
        return mLoop.submit(mForwarder::underWay).syncUninterruptibly().getNow();
    }

    long bufferedBytes() {
        return mLoop.submit(() -> mForwarder.answerBuffers().totalBytes())
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static ForwardingRoute route(String path, RequestKind kind, Duration timeout) {
        return new ForwardingRoute(
                path,
                "host",
                path,
                kind,
                timeout,
                timeout,
                0,
                List.of(new WeightedService("service", 1)),
                2,
                true,
                true,
                Optional.empty(),
                Optional.empty());
    }

    private ForwarderDependencies dependencies() {
        return new ForwarderDependencies(
                mLoop,
                mClock,
                new SplittableRandom(1),
                new TestDialect(),
                new EndpointConnections(mLoop, ConnectionSettings.defaults(), mClock),
                GrantLimiter.create(
                        LimiterSettings.builder(NodeName.of("node-1"), 1).build(),
                        mClock,
                        (node, message) -> {}),
                new FleetRetryBudget(
                        new FleetRetrySettings(Duration.ofSeconds(10), 1, CONNECTIONS), mClock),
                new CrashLedger(mClock, message -> {}),
                new PromptCrashLedger(mClock, message -> {}, part -> true),
                (endpoint, model, onResident) -> () -> {},
                new RequestLog(mClock, mMeters, () -> 1, () -> 0));
    }

    private final class Registry implements EndpointRegistry {
        @Override
        public Optional<EndpointAnnouncement> find(EndpointName endpoint) {
            return Optional.of(
                    new EndpointAnnouncement(
                            endpoint.value(),
                            "service",
                            mEndpoints.get(endpoint),
                            "data-centre",
                            0,
                            CONNECTIONS,
                            false,
                            OptionalLong.empty(),
                            1,
                            List.of(),
                            List.of(),
                            List.of()));
        }

        @Override
        public int connectionLimit(String service) {
            return CONNECTIONS;
        }

        @Override
        public void reportAddressMismatch(EndpointName endpoint) {}
    }

    private final class OrderedRouter implements Router {
        @Override
        public RoutingDecision choose(RouteRequest request) {
            return List.copyOf(mEndpoints.keySet()).stream()
                    .filter(name -> !request.excludedEndpoints().contains(name))
                    .findFirst()
                    .<RoutingDecision>map(name -> new RoutingDecision.Dispatch(name, "", 0, false))
                    .orElse(new RoutingDecision.Refuse(ErrorKind.NO_ENDPOINT, 1));
        }

        @Override
        public void configure(Configuration configuration) {}

        @Override
        public void loadReported(EndpointName endpoint, LoadReport report) {}

        @Override
        public void cacheChanged(EndpointName endpoint, CacheEventBatch batch) {}

        @Override
        public void endpointChanged(EndpointName endpoint, EndpointState state) {}

        @Override
        public void attemptStarted(Attempt attempt) {}

        @Override
        public void firstTokenArrived(String attemptId) {}

        @Override
        public void timeBetweenTokensObserved(String attemptId, double milliseconds) {}

        @Override
        public void attemptEnded(String attemptId, AttemptOutcome outcome) {}

        @Override
        public Set<String> targetsOn(EndpointName endpoint) {
            return Set.of("service");
        }

        @Override
        public int inFlight(EndpointName endpoint) {
            return 0;
        }
    }
}
