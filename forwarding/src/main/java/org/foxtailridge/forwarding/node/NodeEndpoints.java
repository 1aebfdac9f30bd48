package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.ForwardingConfiguration;
import org.foxtailridge.forwarding.configuration.ForwardingService;
import org.foxtailridge.forwarding.endpoint.AnnouncedEndpoints;
import org.foxtailridge.forwarding.endpoint.AnnouncementDecoder;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.endpoint.EndpointListener;
import org.foxtailridge.forwarding.endpoint.HeldModel;
import org.foxtailridge.forwarding.front.EndpointRegistry;
import org.foxtailridge.forwarding.front.RequestTargets;
import org.foxtailridge.forwarding.http.EndpointConnections;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.EngineRole;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.Resident;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.queue.RequestScheduler;

/**
 * Connects the registry of announced endpoints to the scheduler: passes on changes of endpoints,
 * their load and their resident models, and forwards announcements to further listeners. Confined
 * to the event loop.
 */
final class NodeEndpoints implements EndpointListener, EndpointRegistry {
    private static final Logger LOGGER = LogManager.getLogger(NodeEndpoints.class);
    // The platform promises that live endpoints announce themselves again within 2 s after the log
    // answers again.
    private static final Duration REANNOUNCEMENT_TIME = Duration.ofSeconds(2);
    private static final long MAXIMUM_CORRECTION_AGE_MILLISECONDS = 3_000;
    // Share of an endpoint's connections that the known nodes divide; the rest is for nodes that
    // are not known yet and for orders and reports.
    private static final double CONNECTION_SHARE = 0.8;
    // A node that starts reads the announcements of all endpoints in one batch.
    private static final int MAXIMUM_LOGGED_ANNOUNCEMENTS = 64;
    // Also the limit for a service that is not configured.
    private static final int MINIMUM_CONNECTIONS = 4;
    private static final String UNKNOWN_VERSION = "";
    // Time for which an endpoint is down after another endpoint answered at its address.
    private static final long ADDRESS_MISMATCH_SUSPENSION_MILLISECONDS = 1_000;

    private final Clock mClock;
    private final NodeMembership mMembers;
    private final EndpointConnections mConnections;
    private final RequestScheduler mScheduler;
    private final Router mRouter;
    private final AnnouncedEndpoints mAnnounced;
    private final AdapterResidency mResidency =
            new AdapterResidency(MAXIMUM_CORRECTION_AGE_MILLISECONDS);
    private final NodeLoads mLoads;
    private final List<Suspension> mSuspended = new ArrayList<>();
    private final List<EndpointListener> mListeners = new ArrayList<>();
    private final Map<EndpointName, EndpointState> mChangedStates = new LinkedHashMap<>();
    private boolean mEndpointsGone;
    private Optional<ForwardingConfiguration> mConfiguration = Optional.empty();

    NodeEndpoints(
            Clock clock,
            AnnouncementDecoder decoder,
            NodeMembership members,
            EndpointConnections connections,
            RequestScheduler scheduler,
            Router router,
            NodeLoads loads) {
        mClock = clock;
        mMembers = members;
        mConnections = connections;
        mScheduler = scheduler;
        mRouter = router;
        mLoads = loads;
        mAnnounced = new AnnouncedEndpoints(decoder, REANNOUNCEMENT_TIME, clock, this);
    }

    void addListener(EndpointListener listener) {
        mListeners.add(listener);
    }

    void applyRecords(List<KeyedRecord> records) {
        mAnnounced.apply(records);
    }

    void logUnavailable() {
        mAnnounced.logUnavailable();
    }

    void configurationChanged(ForwardingConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
        configureScheduler();
    }

    void tick() {
        long now = mClock.millis();
        mAnnounced.tick();
        for (Suspension suspension : List.copyOf(mSuspended)) {
            if (now >= suspension.untilMilliseconds()) {
                mSuspended.remove(suspension);
                find(suspension.endpoint())
                        .ifPresent(
                                found ->
                                        mScheduler.endpointChanged(
                                                suspension.endpoint(), EndpointState.UP));
            }
        }
    }

    Collection<EndpointAnnouncement> all() {
        return mAnnounced.all();
    }

    /** Returns whether any service has an endpoint that accepts work. */
    boolean hasEndpoints() {
        return mAnnounced.all().stream().anyMatch(endpoint -> !endpoint.draining());
    }

    /** Returns the loads that other nodes report. */
    NodeLoads loads() {
        return mLoads;
    }

    /** Returns the attempts that this node has in flight, for each endpoint that has any. */
    Map<String, Integer> inFlight() {
        Map<String, Integer> inFlight = new HashMap<>();
        for (EndpointAnnouncement endpoint : mAnnounced.all()) {
            int count = inFlight(endpoint);
            if (count > 0) {
                inFlight.put(endpoint.id(), count);
            }
        }
        return inFlight;
    }

    private int inFlight(EndpointAnnouncement endpoint) {
        return mRouter.inFlight(EndpointName.of(endpoint.id()));
    }

    /** Applies a residence message of the node that gives placement orders. */
    void updateResidence(
            String engine, long start, String model, String adapter, boolean resident) {
        mResidency.correct(engine, start, model, adapter, resident, mClock.millis());
        mAnnounced.find(engine).ifPresent(this::reportLoad);
    }

    /** Reports the load of all engines to the scheduler. */
    void reportLoads() {
        mAnnounced.all().forEach(this::reportLoad);
    }

    @Override
    public void announced(Optional<EndpointAnnouncement> former, EndpointAnnouncement current) {
        boolean affectsScheduler =
                former.isEmpty()
                        || former.get().draining() != current.draining()
                        || !former.get().address().equals(current.address())
                        || former.get().startMilliseconds() != current.startMilliseconds();
        if (affectsScheduler) {
            if (mChangedStates.size() < MAXIMUM_LOGGED_ANNOUNCEMENTS) {
                log(current);
            }
            mChangedStates.put(
                    EndpointName.of(current.id()),
                    current.draining() ? EndpointState.LEAVING : EndpointState.UP);
        } else {
            reportLoad(current);
        }
        mListeners.forEach(listener -> listener.announced(former, current));
    }

    /**
     * Tells the scheduler of the changes of a batch at once: it takes the whole list of endpoints,
     * so that telling it of each one takes a time that grows with the square of their number.
     */
    @Override
    public void batchApplied() {
        if (mChangedStates.isEmpty() && !mEndpointsGone) {
            return;
        }
        if (mChangedStates.size() > MAXIMUM_LOGGED_ANNOUNCEMENTS) {
            LogEvent.named("endpoints_announced")
                    .number("changed", mChangedStates.size())
                    .number("known", mAnnounced.all().size())
                    .writeTo(LOGGER);
        }
        configureScheduler();
        mChangedStates.forEach(mScheduler::endpointChanged);
        mChangedStates.clear();
        mEndpointsGone = false;
    }

    private static void log(EndpointAnnouncement current) {
        LogEvent.named("endpoint_announced")
                .text("endpoint", current.id())
                .text("service", current.service())
                .text("address", current.address())
                .text("draining", current.draining())
                .number("start", current.startMilliseconds())
                .number("entry", current.sequenceNumber())
                .text("models", current.models())
                .writeTo(LOGGER);
    }

    @Override
    public void gone(EndpointAnnouncement former) {
        LogEvent.named("endpoint_gone")
                .text("endpoint", former.id())
                .text("service", former.service())
                .writeTo(LOGGER);
        mResidency.forget(former.id());
        mChangedStates.remove(EndpointName.of(former.id()));
        mEndpointsGone = true;
        mConnections.closeIdle(former.address());
        mListeners.forEach(listener -> listener.gone(former));
    }

    @Override
    public Optional<EndpointAnnouncement> find(EndpointName endpoint) {
        return mAnnounced.find(endpoint.value());
    }

    @Override
    public int connectionLimit(String service) {
        int maximum =
                mConfiguration
                        .flatMap(configuration -> configuration.service(service))
                        .map(ForwardingService::maximumConnections)
                        .orElse(MINIMUM_CONNECTIONS);
        int share = (int) (maximum * CONNECTION_SHARE / mMembers.fleetSize());
        return Math.max(MINIMUM_CONNECTIONS, share);
    }

    @Override
    public void reportAddressMismatch(EndpointName endpoint) {
        mScheduler.endpointChanged(endpoint, EndpointState.DOWN);
        mSuspended.add(
                new Suspension(
                        endpoint, mClock.millis() + ADDRESS_MISMATCH_SUSPENSION_MILLISECONDS));
    }

    private void reportLoad(EndpointAnnouncement endpoint) {
        Optional<ForwardingService> service =
                mConfiguration.flatMap(known -> known.service(endpoint.service()));
        if (service.isEmpty() || service.get().engines().isEmpty()) {
            return;
        }
        long now = mClock.millis();
        int total = inFlight(endpoint) + mLoads.inFlightOfOthers(endpoint.id());
        int slots = service.get().engines().get().slots();
        int running = Math.min(total, slots);
        // The two zeros are the size of the accelerator memory and the memory in use: not reported.
        mScheduler.loadReported(
                EndpointName.of(endpoint.id()),
                new LoadReport(
                        endpoint.startMilliseconds(),
                        now,
                        running,
                        total - running,
                        0,
                        0,
                        EngineRole.BOTH,
                        endpoint.draining(),
                        residents(endpoint, now),
                        slots));
    }

    private List<Resident> residents(EndpointAnnouncement endpoint, long now) {
        String id = endpoint.id();
        long start = endpoint.startMilliseconds();
        List<Resident> residents = new ArrayList<>();
        Set<String> announced = new HashSet<>();
        for (HeldModel model : endpoint.models()) {
            String name = RequestTargets.modelName(endpoint.service(), model.name());
            announced.add(name);
            if (!mResidency.isBeingUnloaded(id, start, name, now)) {
                residents.add(Resident.model(name, Long.toString(model.version())));
                addAdapters(residents, endpoint, name, model.adapters(), now);
            }
        }
        for (String name : mResidency.loadedModels(id, start, now)) {
            if (!announced.contains(name)) {
                residents.add(Resident.model(name, UNKNOWN_VERSION));
                addAdapters(residents, endpoint, name, List.of(), now);
            }
        }
        return residents;
    }

    private void addAdapters(
            List<Resident> residents,
            EndpointAnnouncement endpoint,
            String model,
            List<String> announced,
            long now) {
        mResidency
                .residentAdapters(
                        endpoint.id(), endpoint.startMilliseconds(), model, announced, now)
                .forEach(adapter -> residents.add(Resident.adapter(model, adapter, "")));
    }

    /** Passes all endpoints, services and client accounts to the scheduler. */
    private void configureScheduler() {
        if (mConfiguration.isEmpty()) {
            return;
        }
        ForwardingConfiguration configuration = mConfiguration.get();
        // The version of the published configuration takes the place of a record offset.
        Configuration.Builder builder = Configuration.builder().offset(configuration.version());
        for (ForwardingService service : configuration.services()) {
            builder.put(new Service(service.name(), service.name(), List.of()));
        }
        for (ForwardingAccount account : configuration.accounts()) {
            builder.put(new ClientAccount(account.name(), account.name()));
            builder.put(
                    Plan.builder(account.name())
                            .rateTokensPerSecond(Math.max(1, account.ratePerSecond()))
                            .build());
        }
        for (EndpointAnnouncement endpoint : mAnnounced.all()) {
            boolean engine =
                    configuration
                            .service(endpoint.service())
                            .flatMap(ForwardingService::engines)
                            .isPresent();
            builder.put(
                    Endpoint.builder(endpoint.id())
                            .kind(engine ? EndpointKind.ENGINE : EndpointKind.SERVICE)
                            .pool(endpoint.service())
                            .dataCentre(endpoint.dataCentre())
                            .address(endpoint.address().toString())
                            .leaving(endpoint.draining())
                            .build());
        }
        mScheduler.configure(builder.build());
        mAnnounced.all().forEach(this::reportLoad);
    }

    private record Suspension(EndpointName endpoint, long untilMilliseconds) {}
}
