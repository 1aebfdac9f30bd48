package org.foxtailridge.endtoend.harness;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailridge.standins.platform.OperatorConfiguration;
import org.foxtailridge.standins.platform.StoreDoor;
import org.foxtailridge.standins.platform.StoreStandin;
import org.foxtailridge.standins.platform.WorkerStandin;

/**
 * Three nodes on the platform as processes, each with a door of its own to the store, beside
 * stand-ins inside the test: two plain workers and two with models.
 *
 * <pre>{@code
 * try (PlatformFleet fleet = PlatformFleet.start()) {
 *     fleet.stream(fleet.node(0), "m1", "lot 7").join().body();
 * }
 * }</pre>
 */
public final class PlatformFleet implements AutoCloseable {
    /** Key of the client account without a limit. */
    public static final String KEY = "key-of-auctions";

    /** Key of the client account with a limit. */
    public static final String LIMITED_KEY = "key-of-studio";

    /** Tokens a second, and at once, of the client account with a limit. */
    public static final long LIMIT = 1_000;

    /** Number of the last event of each stream. */
    public static final int EVENTS = 40;

    private static final String HOST = "127.0.0.1";
    private static final String CALLS = "desk";
    private static final String ENGINES = "scribe";
    private static final int NODES = 3;
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final AtomicLong REQUESTS = new AtomicLong();

    private final StoreStandin mStore = StoreStandin.builder().start();
    private final List<StoreDoor> mDoors = new ArrayList<>();
    private final List<WorkerStandin> mDesks = new ArrayList<>();
    private final List<WorkerStandin> mEngines = new ArrayList<>();
    private final List<PlatformNodeProcess> mNodes = new ArrayList<>();
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private PlatformFleet() throws IOException {
        Path directory = Files.createTempDirectory("foxtailridge-platform-test");
        mDesks.add(WorkerStandin.builder("i-desk-1", CALLS, "lautoka-a", mStore).start());
        mDesks.add(WorkerStandin.builder("i-desk-2", CALLS, "nadi-b", mStore).start());
        mEngines.add(engine("i-engine-1", "lautoka-a").model("m1").start());
        mEngines.add(engine("i-engine-2", "nadi-b").model("m1").model("m2").start());
        mStore.publish(configuration(1).toJson());
        for (int index = 0; index < NODES; index++) {
            mDoors.add(mStore.openDoor());
            mNodes.add(
                    new PlatformNodeProcess(
                            "vm-" + index,
                            index == 0 ? "lautoka-a" : "nadi-b",
                            directory,
                            mDoors.get(index).address(),
                            mNodes.isEmpty() ? "" : mNodes.get(0).inner()));
        }
        mNodes.forEach(node -> node.start(true));
        mNodes.forEach(this::awaitReady);
    }

    /** Starts the fleet and waits until every node is ready. */
    public static PlatformFleet start() throws IOException {
        return new PlatformFleet();
    }

    /** Returns a configuration with the routes and client accounts of the fleet. */
    public static OperatorConfiguration configuration(long version) {
        return OperatorConfiguration.builder(version)
                .service(CALLS, 100)
                .engines(ENGINES, 16, List.of("m1", "m2", "m3"))
                .route(HOST, "/safe/", CALLS, "safe", TIMEOUT, 2)
                .route(HOST, "/unsafe/", CALLS, "unsafe", TIMEOUT, 2)
                .route(HOST, "/stream/", ENGINES, "streaming", TIMEOUT, 2)
                .account("auctions", 0, KEY)
                .account("studio", LIMIT, LIMITED_KEY);
    }

    /** Returns a configuration with a further service whose streams may, or may not, be resumed. */
    public static OperatorConfiguration configurationWithStreams(long version, String service) {
        return configuration(version)
                .engines(service, 16, List.of(RawWorker.MODEL))
                .route(HOST, "/" + service + "/", service, "streaming", TIMEOUT, 2)
                .route(HOST, "/" + service + "-once/", service, "streaming", TIMEOUT, 2)
                .notResumable();
    }

    /** Returns a configuration with a further route for plain calls. */
    public static OperatorConfiguration configurationWithRoute(long version, String pathPrefix) {
        return configuration(version).route(HOST, pathPrefix, CALLS, "safe", TIMEOUT, 2);
    }

    public StoreStandin store() {
        return mStore;
    }

    /** Returns the door through which a node sees the store. */
    public StoreDoor door(int node) {
        return mDoors.get(node);
    }

    /** Returns a node by its number. */
    public PlatformNodeProcess node(int index) {
        return mNodes.get(index);
    }

    public List<PlatformNodeProcess> nodes() {
        return mNodes;
    }

    /** Returns the workers of plain calls. */
    public List<WorkerStandin> desks() {
        return mDesks;
    }

    /** Returns the workers with models. */
    public List<WorkerStandin> engines() {
        return mEngines;
    }

    /** Returns the number of requests with a body that workers of plain calls began to run. */
    public long executionsOf(String body) {
        return mDesks.stream()
                .flatMap(desk -> desk.executions().stream())
                .filter(execution -> execution.body().equals(body))
                .count();
    }

    /** Starts a node again. */
    public void restart(int index) {
        mNodes.get(index).start(false);
    }

    /** Waits until a node says that it is ready. */
    public void awaitReady(PlatformNodeProcess node) {
        await().atMost(PATIENCE)
                .ignoreExceptions()
                .until(() -> get(node.operators() + "/ready", "").join().status() == 200);
    }

    /** Calls a plain service; an empty key leaves the authorization out. */
    public CompletableFuture<CallerAnswer> call(
            PlatformNodeProcess node, String method, String target, String key, String body) {
        return call(node, method, target, key, body, TIMEOUT);
    }

    /** Calls a plain service and says how long the caller will wait for it. */
    public CompletableFuture<CallerAnswer> call(
            PlatformNodeProcess node,
            String method,
            String target,
            String key,
            String body,
            Duration patience) {
        return send(
                request(node.callers() + target, key, patience).method(method, publisher(body)));
    }

    /** Asks a model for a stream and reads all of it. */
    public CompletableFuture<CallerAnswer> stream(
            PlatformNodeProcess node, String model, String body) {
        return send(streamRequest(node, model, body, KEY, 40));
    }

    /** Asks a model for a stream that counts as so many tokens of an account. */
    public CompletableFuture<CallerAnswer> stream(
            PlatformNodeProcess node, String model, String body, String key, int tokens) {
        return send(streamRequest(node, model, body, key, tokens));
    }

    /** Opens a stream; the future completes when its first event arrives. */
    public CompletableFuture<LiveStream> open(PlatformNodeProcess node, String model, String body) {
        return mClient.sendAsync(
                        streamRequest(node, model, body, KEY, 40).build(),
                        HttpResponse.BodyHandlers.ofLines())
                .thenApply(LiveStream::new);
    }

    /** Gets a resource; an empty key leaves the authorization out. */
    public CompletableFuture<CallerAnswer> get(String address, String key) {
        return send(request(address, key, TIMEOUT).GET());
    }

    @Override
    public void close() {
        mNodes.forEach(PlatformNodeProcess::close);
        mDesks.forEach(WorkerStandin::close);
        mEngines.forEach(WorkerStandin::close);
        mStore.close();
    }

    private WorkerStandin.Builder engine(String id, String dataCentre) {
        return WorkerStandin.builder(id, ENGINES, dataCentre, mStore)
                .streams(EVENTS, Duration.ofMillis(20));
    }

    private HttpRequest.Builder streamRequest(
            PlatformNodeProcess node, String model, String body, String key, int tokens) {
        return request(node.callers() + "/stream/lots", key, TIMEOUT)
                .header("X-Model", model)
                .header("X-Token-Usage", (tokens - EVENTS) + "," + EVENTS)
                .header("X-Prompt-Prefix", "5c:10")
                .POST(publisher(body));
    }

    private static HttpRequest.Builder request(String address, String key, Duration patience) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(address))
                        .timeout(PATIENCE)
                        .header("X-Request-Id", "q-" + REQUESTS.incrementAndGet())
                        .header("X-Deadline-Ms", Long.toString(patience.toMillis()));
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        return request;
    }

    private static HttpRequest.BodyPublisher publisher(String body) {
        return body.isEmpty()
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body);
    }

    private CompletableFuture<CallerAnswer> send(HttpRequest.Builder request) {
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(CallerAnswer::of);
    }
}
