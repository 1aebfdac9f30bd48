package org.foxtailridge.endtoend.harness;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.foxtailridge.configuration.key.KeyHashing;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.ServiceRoute;
import org.foxtailridge.configuration.model.WeightStore;
import org.foxtailridge.standins.engine.EngineStandin;
import org.foxtailridge.standins.engine.Preloaded;
import org.foxtailridge.standins.log.LogStandin;
import org.foxtailridge.standins.service.ServiceStandin;
import org.foxtailridge.standins.vms.VmEntry;
import org.foxtailridge.standins.vms.VmListStandin;

/**
 * Nodes as processes, beside stand-ins inside the test.
 *
 * <pre>{@code
 * try (Fleet fleet = Fleet.builder().nodes(3).engines(2).start()) {
 *     fleet.client().complete(fleet.node(0), Fleet.LARGE_KEY, CompletionBody.whole("lot 7", 20));
 * }
 * }</pre>
 */
public final class Fleet implements AutoCloseable {
    /** The one listed model. */
    public static final String MODEL = "scribe";

    /** Key of the client account with a large plan. */
    public static final String LARGE_KEY = "fr_large_0123456789abcdef-large";

    /** Key of the client account with a small plan. */
    public static final String SMALL_KEY = "fr_small_0123456789abcdef-small";

    private static final String[] DATA_CENTRES = {"lautoka-a", "nadi-b"};
    private static final long GIB = 1L << 30;
    private static final int ROUTE_TOKENS = 1;
    private static final int ROUTE_TIMEOUT_MILLISECONDS = 3000;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final Path mDirectory;
    private final LogStandin mLog;
    private final VmListStandin mVms;
    private final List<EngineStandin> mEngines = new ArrayList<>();
    private final ServiceStandin mService;
    private final List<NodeProcess> mNodes = new ArrayList<>();
    private final Operator mOperator;
    private final CallerClient mClient = new CallerClient();

    private Fleet(Builder builder) throws IOException {
        mDirectory = Files.createTempDirectory("foxtailridge-test");
        mLog = LogStandin.builder().start();
        mVms = VmListStandin.builder().start();
        mService = ServiceStandin.builder().start();
        for (int index = 0; index < builder.mEngines; index++) {
            mEngines.add(startEngine(index, builder));
        }
        mOperator = new Operator(mLog.address().toString());
        mOperator.set(entries(builder).toArray(new ConfigurationEntry[0]));
        for (int index = 0; index < builder.mNodes; index++) {
            mNodes.add(startNode(index));
        }
        mNodes.forEach(this::awaitReady);
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Returns a node by its number. */
    public NodeProcess node(int index) {
        return mNodes.get(index);
    }

    public List<NodeProcess> nodes() {
        return mNodes;
    }

    /** Returns an engine by its number. */
    public EngineStandin engine(int index) {
        return mEngines.get(index);
    }

    /** Returns the plain service. */
    public ServiceStandin service() {
        return mService;
    }

    /** Returns the log. */
    public LogStandin logService() {
        return mLog;
    }

    /** Returns the list of VMs. */
    public VmListStandin vms() {
        return mVms;
    }

    public Operator operator() {
        return mOperator;
    }

    /** Returns the client of callers. */
    public CallerClient client() {
        return mClient;
    }

    /** Starts a node anew in place of one that has ended; it has a new incarnation. */
    public NodeProcess replace(int index) {
        mNodes.get(index).close();
        NodeProcess node = startNode(index);
        mNodes.set(index, node);
        awaitReady(node);
        return node;
    }

    /** Waits until every node has the record at an offset in force. */
    public void awaitInForce(long offset) {
        for (NodeProcess node : mNodes) {
            await().atMost(START_TIMEOUT)
                    .until(
                            () ->
                                    mClient.status(node).path("configuration_offset").asLong()
                                            >= offset);
        }
    }

    /** Returns the address of the plain service's path through a node. */
    public String service(NodeProcess node, String path) {
        return node.callers() + "/services/desk" + path;
    }

    @Override
    public void close() throws Exception {
        mNodes.forEach(NodeProcess::close);
        mOperator.close();
        mEngines.forEach(EngineStandin::close);
        mService.close();
        mVms.close();
        mLog.close();
    }

    private void awaitReady(NodeProcess node) {
        await().atMost(START_TIMEOUT)
                .ignoreExceptions()
                .until(() -> mClient.status(node).path("ready").asBoolean());
        await().atMost(START_TIMEOUT)
                .until(
                        () ->
                                mClient.complete(node, LARGE_KEY, CompletionBody.whole("ready", 1))
                                                .join()
                                                .status()
                                        == 200);
    }

    private EngineStandin startEngine(int index, Builder settings) {
        EngineStandin.Builder builder =
                EngineStandin.builder("engine-" + index)
                        .seed(index)
                        .memoryBytes(16 * GIB)
                        .firstToken(Duration.ofMillis(2))
                        .betweenTokens(Duration.ofMillis(1))
                        .loadReportLag(Duration.ofMillis(20));
        if (settings.mPreload) {
            builder.preload(Preloaded.model(MODEL, "1", 2 * GIB, GIB));
        }
        return settings.mEngineSettings.apply(builder).start();
    }

    private NodeProcess startNode(int index) {
        String name = "vm-" + index;
        String dataCentre = DATA_CENTRES[index % DATA_CENTRES.length];
        String settings =
                """
                [node]
                name = "%s"
                data_centre = "%s"
                stop_seconds = 20
                [callers]
                port = 0
                threads = 16
                [operators]
                port = 0
                fault_switches = true
                [peers]
                port = 0
                secret = "a secret of the test fleet"
                [platform]
                log = "%s"
                vm_list = "%s"
                [limits]
                floor_delay_seconds = 2
                [endpoints]
                report_interval_milliseconds = 50
                """
                        .formatted(name, dataCentre, mLog.address(), mVms.address());
        NodeProcess node = NodeProcess.start(name, dataCentre, mDirectory, settings);
        mVms.put(
                new VmEntry(
                        name,
                        dataCentre,
                        node.inner(),
                        authority(node.operators()),
                        authority(node.callers()),
                        "live"));
        return node;
    }

    private static String authority(String address) {
        return address.substring(address.indexOf("//") + 2);
    }

    private List<ConfigurationEntry> entries(Builder builder) {
        List<ConfigurationEntry> entries = new ArrayList<>();
        List<String> all = List.of("*");
        entries.add(
                new Plan(
                        "large",
                        builder.mLargeRate,
                        builder.mLargeBurst,
                        all,
                        all,
                        all,
                        builder.mStalenessSeconds,
                        256));
        entries.add(new Plan("small", 20, 200, List.of(MODEL), List.of(), List.of(), 60, 16));
        entries.add(new ClientAccount("auctions", "large"));
        entries.add(new ClientAccount("studio", "small"));
        entries.add(key(LARGE_KEY, "auctions"));
        entries.add(key(SMALL_KEY, "studio"));
        entries.add(new Model(MODEL, "1", 2 * GIB, GIB, List.of("scribe-pool"), 8192));
        for (int index = 0; index < mEngines.size(); index++) {
            entries.add(engineEntry(index));
        }
        entries.add(
                new Endpoint(
                        "desk-0",
                        EndpointKind.SERVICE,
                        "desk-pool",
                        DATA_CENTRES[0],
                        mService.address().toString(),
                        0,
                        0,
                        false,
                        false));
        entries.add(
                new Service(
                        "desk",
                        "desk-pool",
                        List.of(
                                route("GET", "/hours", true, true),
                                route("POST", "/lookups", true, false),
                                route("POST", "/bids", false, false))));
        entries.add(new WeightStore("default", 100, 7, 55));
        return entries;
    }

    private Endpoint engineEntry(int index) {
        return new Endpoint(
                "engine-" + index,
                EndpointKind.ENGINE,
                "scribe-pool",
                DATA_CENTRES[index % DATA_CENTRES.length],
                mEngines.get(index).address().toString(),
                16 * GIB,
                1,
                true,
                false);
    }

    private static ServiceRoute route(
            String method, String path, boolean idempotent, boolean open) {
        return new ServiceRoute(
                method, path, idempotent, open, ROUTE_TOKENS, ROUTE_TIMEOUT_MILLISECONDS);
    }

    /** Returns the entry of a key. */
    public static CallerKey key(String key, String account) {
        byte[] salt = ("salt of " + key).getBytes(StandardCharsets.UTF_8);
        return KeyHashing.entryFor(key, account, salt);
    }

    /** Builds a {@link Fleet}. */
    public static final class Builder {
        private int mNodes = 1;
        private int mEngines = 1;
        private boolean mPreload = true;
        private int mStalenessSeconds = 60;
        private long mLargeRate = 1_000_000;
        private long mLargeBurst = 10_000_000;
        private UnaryOperator<EngineStandin.Builder> mEngineSettings = UnaryOperator.identity();

        private Builder() {}

        /** Sets the number of nodes. */
        public Builder nodes(int nodes) {
            mNodes = nodes;
            return this;
        }

        /** Sets the number of engines. */
        public Builder engines(int engines) {
            mEngines = engines;
            return this;
        }

        /** Starts engines without any model, so that placement has to load it. */
        public Builder withoutPreload() {
            mPreload = false;
            return this;
        }

        /** Sets the staleness that the large plan allows, in seconds. */
        public Builder staleness(int seconds) {
            mStalenessSeconds = seconds;
            return this;
        }

        /** Sets rate and burst of the large plan, in tokens a second and tokens. */
        public Builder largePlan(long rate, long burst) {
            mLargeRate = rate;
            mLargeBurst = burst;
            return this;
        }

        /** Sets further settings of each engine. */
        public Builder engineSettings(UnaryOperator<EngineStandin.Builder> settings) {
            mEngineSettings = settings;
            return this;
        }

        /** Starts everything and waits until every node answers a completion. */
        public Fleet start() {
            try {
                return new Fleet(this);
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }
    }
}
