package org.foxtailridge.node;

import dagger.Module;
import dagger.Provides;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import javax.inject.Named;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.foxtailridge.clients.engine.EngineClient;
import org.foxtailridge.clients.http.HttpClients;
import org.foxtailridge.clients.log.HttpLogService;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.clients.service.ServiceClient;
import org.foxtailridge.clients.vm.HttpVmList;
import org.foxtailridge.clients.vm.VmList;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.execution.retry.RetryPolicy;
import org.foxtailridge.execution.retry.RetrySettings;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.limits.grant.GrantLimiter;
import org.foxtailridge.node.duty.PeerMessages;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.node.platform.CuttableLog;
import org.foxtailridge.node.platform.CuttableVmList;
import org.foxtailridge.node.platform.PlatformCut;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.routing.ExpectedTimeRouter;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingSettings;

/** Provides what a node is made of. */
@Module
final class NodeModule {
    private static final String CONTROL = "control";
    private static final String ENDPOINTS = "endpoints";
    private static final int CONTROL_THREADS = 16;
    private static final int CONTROL_CONNECTIONS = 32;
    private static final int ENDPOINT_THREADS = 64;
    private static final int MAXIMUM_OPEN_RESERVATIONS = 100_000;
    private static final int MAXIMUM_SERVICE_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private NodeModule() {}

    @Provides
    @Singleton
    static Clock clock() {
        return MonotonicClock.start();
    }

    @Provides
    @Singleton
    static PeerIdentity identity(NodeSettings settings, Clock clock) {
        return new PeerIdentity(settings.name(), settings.dataCentre(), clock.millis());
    }

    @Provides
    @Singleton
    static PeerNetwork peers(NodeSettings settings, PeerIdentity identity, PeerMessages messages) {
        return PeerNetwork.listen(
                identity,
                settings.peerSecret(),
                new InetSocketAddress(settings.peerHost(), settings.peerPort()),
                messages);
    }

    @Provides
    @Singleton
    @Named(CONTROL)
    static HttpClient controlClient() {
        return HttpClients.start(CONTROL, CONTROL_THREADS, CONTROL_CONNECTIONS, CONNECT_TIMEOUT);
    }

    @Provides
    @Singleton
    @Named(ENDPOINTS)
    static HttpClient endpointClient(NodeSettings settings) {
        return HttpClients.start(
                ENDPOINTS, ENDPOINT_THREADS, settings.endpointConnections(), CONNECT_TIMEOUT);
    }

    @Provides
    @Singleton
    static LogService log(
            NodeSettings settings, @Named(CONTROL) HttpClient client, PlatformCut cut) {
        return new CuttableLog(
                new HttpLogService(client, settings.logAddress(), settings.platformTimeout()), cut);
    }

    @Provides
    @Singleton
    static VmList vmList(
            NodeSettings settings, @Named(CONTROL) HttpClient client, PlatformCut cut) {
        return new CuttableVmList(
                new HttpVmList(client, settings.vmListAddress(), settings.platformTimeout()), cut);
    }

    @Provides
    @Singleton
    static EngineClient engines(NodeSettings settings, @Named(ENDPOINTS) HttpClient client) {
        return new EngineClient(client, settings.platformTimeout(), settings.streamIdleTimeout());
    }

    @Provides
    @Singleton
    static ServiceClient services(@Named(ENDPOINTS) HttpClient client) {
        return new ServiceClient(client, MAXIMUM_SERVICE_ANSWER_BYTES);
    }

    @Provides
    @Singleton
    static TokenLimiter limiter(
            NodeSettings settings, PeerIdentity identity, Clock clock, PeerNetwork peers) {
        LimiterSettings limits =
                LimiterSettings.builder(identity.name(), identity.incarnation())
                        .maximumNodes(settings.maximumNodes())
                        .floorDelayMilliseconds(settings.floorDelay().toMillis())
                        .maximumOpenReservations(MAXIMUM_OPEN_RESERVATIONS)
                        .build();
        return GrantLimiter.create(
                limits, clock, (node, message) -> peers.send(node, Subject.LIMITS, message));
    }

    @Provides
    @Singleton
    static Router router(NodeSettings settings, PeerIdentity identity, Clock clock) {
        RoutingSettings routing = RoutingSettings.builder(settings.dataCentre().value()).build();
        return ExpectedTimeRouter.create(clock, routing, identity.seed());
    }

    @Provides
    @Singleton
    static RetryPolicy retries(PeerIdentity identity, Clock clock) {
        return RetryPolicy.create(clock, RetrySettings.builder().build(), identity.seed());
    }

    @Provides
    @Singleton
    static PrometheusMeterRegistry metrics() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }
}
