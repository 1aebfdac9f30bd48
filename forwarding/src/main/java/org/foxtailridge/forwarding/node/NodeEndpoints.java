package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
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

/** The announced endpoints, told to queue and router in their own terms. */
final class NodeEndpoints implements EndpointListener, EndpointRegistry {
    private static final Logger LOGGER = LogManager.getLogger(NodeEndpoints.class);
    // Workers that live are back within two seconds of the log's return, as the platform promises.
    private static final Duration RETURN_TIME = Duration.ofSeconds(2);
    private static final long LOAD_LIFE_MILLISECONDS = 1_500;
    private static final long CORRECTION_MILLISECONDS = 3_000;
    // Leaves connections for nodes that are not known yet and for orders and reports.
    private static final double CONNECTION_SHARE = 0.8;
    private static final int LEAST_CONNECTIONS = 4;
    private static final String VERSION_UNKNOWN = "";
    // An endpoint that was found to be another one is asked again after this time.
    private static final long MISPLACED_MILLISECONDS = 1_000;

    private final Clock mClock;
    private final NodeMembership mMembers;
    private final EndpointConnections mConnections;
    private final RequestScheduler mScheduler;
    private final Router mRouter;
    private final AnnouncedEndpoints mAnnounced;
    private final AdapterBeliefs mAdapters = new AdapterBeliefs(CORRECTION_MILLISECONDS);
    private final FleetLoad mLoad = new FleetLoad(LOAD_LIFE_MILLISECONDS);
    private final List<Misplaced> mMisplaced = new ArrayList<>();
    private final List<EndpointListener> mListeners = new ArrayList<>();
    private Optional<ForwardingConfiguration> mConfiguration = Optional.empty();

    NodeEndpoints(
            Clock clock,
            AnnouncementDecoder decoder,
            NodeMembership members,
            EndpointConnections connections,
            RequestScheduler scheduler,
            Router router) {
        mClock = clock;
        mMembers = members;
        mConnections = connections;
        mScheduler = scheduler;
        mRouter = router;
        mAnnounced = new AnnouncedEndpoints(decoder, RETURN_TIME, clock, this);
    }

    void listen(EndpointListener listener) {
        mListeners.add(listener);
    }

    void apply(List<KeyedRecord> records) {
        mAnnounced.apply(records);
    }

    void logDisturbed() {
        mAnnounced.logDisturbed();
    }

    void configurationChanged(ForwardingConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
        configureQueue();
    }

    void tick() {
        long now = mClock.millis();
        mAnnounced.tick();
        for (Misplaced misplaced : List.copyOf(mMisplaced)) {
            if (now >= misplaced.untilMilliseconds()) {
                mMisplaced.remove(misplaced);
                find(misplaced.endpoint())
                        .ifPresent(
                                found ->
                                        mScheduler.endpointChanged(
                                                misplaced.endpoint(), EndpointState.UP));
            }
        }
    }

    Collection<EndpointAnnouncement> all() {
        return mAnnounced.all();
    }

    /** Returns whether a service has an endpoint that takes work. */
    boolean hasEndpoints() {
        return mAnnounced.all().stream().anyMatch(endpoint -> !endpoint.draining());
    }

    /** Takes what another node has in flight. */
    FleetLoad load() {
        return mLoad;
    }

    /** Returns attempts of this node in flight. */
    int inFlight(EndpointAnnouncement endpoint) {
        return mRouter.inFlight(EndpointName.of(endpoint.id()));
    }

    /** Notes what the giver of orders says of an adapter. */
    void adapterResident(
            String engine, long start, String model, String adapter, boolean resident) {
        mAdapters.correct(engine, start, model, adapter, resident, mClock.millis());
        mAnnounced.find(engine).ifPresent(this::report);
    }

    /** Tells the queue the load of all engines. */
    void reportLoads() {
        mAnnounced.all().forEach(this::report);
    }

    @Override
    public void announced(Optional<EndpointAnnouncement> former, EndpointAnnouncement current) {
        boolean relisted =
                former.isEmpty()
                        || former.get().draining() != current.draining()
                        || !former.get().address().equals(current.address())
                        || former.get().startMilliseconds() != current.startMilliseconds();
        if (relisted) {
            LogEvent.named("endpoint_announced")
                    .text("endpoint", current.id())
                    .text("service", current.service())
                    .text("address", current.address())
                    .text("draining", current.draining())
                    .number("start", current.startMilliseconds())
                    .number("entry", current.sequenceNumber())
                    .text("models", current.models())
                    .writeTo(LOGGER);
            configureQueue();
            mScheduler.endpointChanged(
                    EndpointName.of(current.id()),
                    current.draining() ? EndpointState.LEAVING : EndpointState.UP);
        }
        report(current);
        mListeners.forEach(listener -> listener.announced(former, current));
    }

    @Override
    public void gone(EndpointAnnouncement former) {
        LogEvent.named("endpoint_gone")
                .text("endpoint", former.id())
                .text("service", former.service())
                .writeTo(LOGGER);
        mAdapters.forget(former.id());
        configureQueue();
        mConnections.forget(former.address());
        mListeners.forEach(listener -> listener.gone(former));
    }

    @Override
    public Optional<EndpointAnnouncement> find(EndpointName endpoint) {
        return mAnnounced.find(endpoint.value());
    }

    @Override
    public int connectionLimit(String service) {
        int most =
                mConfiguration
                        .flatMap(configuration -> configuration.service(service))
                        .map(ForwardingService::maximumConnections)
                        .orElse(LEAST_CONNECTIONS);
        int share = (int) (most * CONNECTION_SHARE / mMembers.fleetSize());
        return Math.max(LEAST_CONNECTIONS, share);
    }

    @Override
    public void reportAddressMismatch(EndpointName endpoint) {
        mScheduler.endpointChanged(endpoint, EndpointState.DOWN);
        mMisplaced.add(new Misplaced(endpoint, mClock.millis() + MISPLACED_MILLISECONDS));
    }

    private void report(EndpointAnnouncement endpoint) {
        Optional<ForwardingService> service =
                mConfiguration.flatMap(known -> known.service(endpoint.service()));
        if (service.isEmpty() || service.get().engines().isEmpty()) {
            return;
        }
        long now = mClock.millis();
        int total = inFlight(endpoint) + mLoad.at(endpoint.id(), now);
        int slots = service.get().engines().get().slots();
        int running = Math.min(total, slots);
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
            if (!mAdapters.isLeaving(id, start, name, now)) {
                residents.add(Resident.model(name, Long.toString(model.version())));
                addAdapters(residents, endpoint, name, model.adapters(), now);
            }
        }
        for (String name : mAdapters.arrived(id, start, now)) {
            if (!announced.contains(name)) {
                residents.add(Resident.model(name, VERSION_UNKNOWN));
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
        mAdapters
                .of(endpoint.id(), endpoint.startMilliseconds(), model, announced, now)
                .forEach(adapter -> residents.add(Resident.adapter(model, adapter, "")));
    }

    /** Tells the queue all endpoints, services and client accounts. */
    private void configureQueue() {
        if (mConfiguration.isEmpty()) {
            return;
        }
        ForwardingConfiguration configuration = mConfiguration.get();
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
        mAnnounced.all().forEach(this::report);
    }

    private record Misplaced(EndpointName endpoint, long untilMilliseconds) {}
}
