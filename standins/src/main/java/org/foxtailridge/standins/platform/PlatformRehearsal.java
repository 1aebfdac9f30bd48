package org.foxtailridge.standins.platform;

import java.net.URI;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.foxtailridge.core.time.MonotonicClock;

/**
 * Drives a node that runs in a build through all that a request may need, so that the build keeps
 * the classes of the whole path and not only those of a start.
 *
 * <pre>{@code
 * java ... org.foxtailridge.standins.platform.PlatformRehearsal 20014 20011
 * }</pre>
 *
 * <p>The arguments are the port of the store to start and the port on which the node listens to
 * callers. Ends with 1 when the node answered nothing.
 */
public final class PlatformRehearsal implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(PlatformRehearsal.class);
    private static final Duration START_TIME = Duration.ofSeconds(20);
    private static final Duration ANSWER_TIME = Duration.ofSeconds(5);
    private static final int RETRY_MILLISECONDS = 100;
    private static final int ROUNDS = 4;
    private static final String HOST = "rehearsal.example";
    private static final String KEY = "rehearsal-key";
    private static final String CALLS = "calls";
    private static final String ENGINES = "engines";
    private static final String DATA_CENTRE = "rehearsal";
    private static final List<String> MODELS = List.of("m1", "m2", "m3");

    private final StoreStandin mStore;
    private final WorkerStandin mPlain;
    private final WorkerStandin mEngine;
    private final HttpClient mClient = new HttpClient();
    private final Clock mClock = MonotonicClock.start();
    private final URI mCallers;
    private int mServed;
    private int mRequests;

    private PlatformRehearsal(int storePort, int callersPort) throws Exception {
        mStore = StoreStandin.builder().port(storePort).start();
        mPlain = WorkerStandin.builder("i-plain", CALLS, DATA_CENTRE, mStore).start();
        mEngine =
                WorkerStandin.builder("i-engine", ENGINES, DATA_CENTRE, mStore).model("m1").start();
        mCallers = URI.create("http://127.0.0.1:" + callersPort);
        mClient.start();
    }

    /** Runs the rehearsal. */
    public static void main(String[] arguments) throws Exception {
        int served;
        try (PlatformRehearsal rehearsal =
                new PlatformRehearsal(
                        Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1]))) {
            served = rehearsal.run();
        }
        System.exit(served > 0 ? 0 : 1);
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
        mEngine.close();
        mPlain.close();
        mStore.close();
    }

    private int run() throws InterruptedException {
        mStore.publish(configuration(1));
        awaitFirstAnswer();
        for (int round = 0; round < ROUNDS; round++) {
            mStore.publish(configuration(2 + round));
            stream("m1");
            stream("m1/a1");
            stream("m2");
            call("GET", "/safe/lot");
            call("POST", "/unsafe/lot");
            call("GET", "/nowhere/lot");
            mEngine.setFaults(WorkerFaults.none().withFull(1).withCutInsideAnswer(1));
            mPlain.setFaults(WorkerFaults.none().withFailing(1).withCutBeforeAnswer(1));
        }
        return mServed;
    }

    private void awaitFirstAnswer() throws InterruptedException {
        Instant end = mClock.instant().plus(START_TIME);
        while (mServed == 0 && mClock.instant().isBefore(end)) {
            call("GET", "/safe/first");
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLISECONDS);
        }
    }

    private void stream(String model) {
        send(
                request("POST", "/stream/lot")
                        .headers(
                                headers ->
                                        headers.put("X-Model", model)
                                                .put("X-Token-Usage", "40,20")
                                                .put("X-Prompt-Prefix", "5c:20,91:20"))
                        .body(new StringRequestContent("lot 7")));
    }

    private void call(String method, String target) {
        send(request(method, target));
    }

    private Request request(String method, String target) {
        String id = "rehearsal-" + mRequests++;
        return mClient.newRequest(mCallers.resolve(target))
                .method(method)
                .timeout(ANSWER_TIME.toMillis(), TimeUnit.MILLISECONDS)
                .headers(
                        headers ->
                                headers.put("Host", HOST)
                                        .put("X-Request-Id", id)
                                        .put("X-Deadline-Ms", ANSWER_TIME.toMillis())
                                        .put("Authorization", "Bearer " + KEY));
    }

    private void send(Request request) {
        try {
            ContentResponse answer = request.send();
            mServed += answer.getStatus() == 200 ? 1 : 0;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException failure) {
            // The node may not listen yet, and workers break answers off on purpose.
            LOGGER.info(
                    "{} was not answered: {}",
                    request.getPath(),
                    failure.getClass().getSimpleName());
        }
    }

    private static String configuration(long version) {
        return OperatorConfiguration.builder(version)
                .service(CALLS, 100)
                .engines(ENGINES, 16, MODELS)
                .route(HOST, "/safe/", CALLS, "safe", ANSWER_TIME, 2)
                .route(HOST, "/unsafe/", CALLS, "unsafe", ANSWER_TIME, 2)
                .route(HOST, "/stream/", ENGINES, "streaming", ANSWER_TIME, 2)
                .account("rehearsal", 1_000_000 + version, KEY)
                .toJson();
    }
}
