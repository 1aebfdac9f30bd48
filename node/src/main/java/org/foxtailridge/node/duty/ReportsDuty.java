package org.foxtailridge.node.duty;

import com.google.common.base.Throwables;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.clients.engine.EngineClient;
import org.foxtailridge.clients.engine.LoadReport;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.execution.quarantine.EndpointStart;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.routing.EndpointState;

/** Reads the load reports of all listed engines at fixed intervals. */
@Singleton
public final class ReportsDuty implements AutoCloseable {
    private static final int RING_TASKS = 4096;

    private final DutyThread mThread;
    private final EngineClient mEngines;
    private final ConfigurationView mConfiguration;
    private final CacheEventReader mCacheEvents;
    private final RoutingDuty mRouting;
    private final QuarantineDuty mQuarantine;
    private final List<BiConsumer<EndpointName, Optional<LoadReport>>> mListeners =
            new CopyOnWriteArrayList<>();
    private final Map<EndpointName, EndpointStart> mStarts = new ConcurrentHashMap<>();
    private final Set<String> mAsked = ConcurrentHashMap.newKeySet();

    /** Creates the duty and starts its thread. */
    @Inject
    public ReportsDuty(
            NodeSettings settings,
            EngineClient engines,
            ConfigurationView configuration,
            RoutingDuty routing,
            QuarantineDuty quarantine,
            DutyTimer timer) {
        mEngines = engines;
        mConfiguration = configuration;
        mRouting = routing;
        mQuarantine = quarantine;
        mThread = DutyThread.start("reports", RING_TASKS);
        mCacheEvents = new CacheEventReader(engines, routing, mThread);
        timer.every(settings.reportInterval(), mThread, this::askAll);
    }

    /** Returns the start of an endpoint that answered last; incarnation 0 for none. */
    public EndpointStart startOf(EndpointName endpoint) {
        return mStarts.getOrDefault(endpoint, new EndpointStart(endpoint.value(), 0));
    }

    /**
     * Adds a listener of all reports, empty when an engine doesn't answer; called on this thread.
     */
    public void listen(BiConsumer<EndpointName, Optional<LoadReport>> listener) {
        mListeners.add(listener);
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void askAll() {
        for (Endpoint endpoint : mConfiguration.current().all(Endpoint.class)) {
            if (endpoint.kind() == EndpointKind.ENGINE && mAsked.add(endpoint.name())) {
                ask(endpoint);
            }
        }
    }

    /** Asks one engine; at most one question to each is open at a time. */
    private void ask(Endpoint endpoint) {
        mEngines.status(endpoint.address())
                .whenComplete(
                        (report, failure) -> {
                            if (!mThread.offer(() -> onAnswer(endpoint, report, failure))) {
                                mAsked.remove(endpoint.name());
                            }
                        });
    }

    private void onAnswer(Endpoint endpoint, LoadReport report, Throwable failure) {
        mAsked.remove(endpoint.name());
        EndpointName name = EndpointName.of(endpoint.name());
        if (failure != null) {
            onNoAnswer(name, failure);
            return;
        }
        noteStart(name, report.incarnation());
        boolean leaving = endpoint.leaving() || report.leaving();
        mRouting.endpointChanged(name, leaving ? EndpointState.LEAVING : EndpointState.UP);
        mCacheEvents.ask(name, endpoint.address(), report.incarnation());
        mRouting.loadReported(name, RoutingReports.from(report));
        tell(name, Optional.of(report));
    }

    /** Tells the quarantine when the process that answered last has ended. */
    private void noteStart(EndpointName name, long incarnation) {
        EndpointStart start = new EndpointStart(name.value(), incarnation);
        EndpointStart former = mStarts.put(name, start);
        if (former != null && !former.equals(start)) {
            mQuarantine.endpointLost(former);
        }
    }

    private void onNoAnswer(EndpointName name, Throwable failure) {
        mRouting.endpointChanged(name, EndpointState.DOWN);
        tell(name, Optional.empty());
        EndpointStart start = mStarts.get(name);
        if (start != null && isRefusal(failure)) {
            mStarts.remove(name, start);
            mQuarantine.endpointLost(start);
        }
    }

    private void tell(EndpointName name, Optional<LoadReport> report) {
        mListeners.forEach(listener -> listener.accept(name, report));
    }

    /** A refused connection shows that the machine runs and the process doesn't. */
    private static boolean isRefusal(Throwable failure) {
        return Throwables.getCausalChain(failure).stream()
                .anyMatch(ConnectException.class::isInstance);
    }
}
