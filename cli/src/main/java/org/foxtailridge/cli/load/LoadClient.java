package org.foxtailridge.cli.load;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.foxtailridge.clients.http.HttpClients;
import org.foxtailridge.core.json.Json;

/** Sends the requests of a load. */
final class LoadClient implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(LoadClient.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final int ANSWER_TIMEOUT_SECONDS = 120;
    private static final int THREADS = 16;
    private static final long DUE_AFTER_SECONDS = 3_600;

    private final LoadPlan mPlan;
    private final Clock mClock;
    private final HttpClient mClient;

    LoadClient(LoadPlan plan, Clock clock) {
        mPlan = plan;
        mClock = clock;
        mClient = HttpClients.start("load", THREADS, plan.maximumInFlight(), CONNECT_TIMEOUT);
    }

    /**
     * Sends a request.
     *
     * @param intended instant at which it should have been sent
     */
    CompletableFuture<Answer> send(Arrival arrival, Instant intended) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        StreamReader reader = new StreamReader(mClock);
        mClient.newRequest(arrival.caller() + "/v1/completions")
                .method(HttpMethod.POST)
                .timeout(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .headers(
                        headers ->
                                headers.put("Authorization", "Bearer " + arrival.account().value()))
                .body(new BytesRequestContent("application/json", Json.writeBytes(body(arrival))))
                .onResponseContent((response, part) -> reader.accept(part))
                .send(result -> answer.complete(answer(arrival, intended, reader, result)));
        return answer;
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception failure) {
            LOGGER.warn("the HTTP client did not stop cleanly", failure);
        }
    }

    private Answer answer(Arrival arrival, Instant intended, StreamReader reader, Result result) {
        reader.end();
        Duration completion = Duration.between(intended, mClock.instant());
        Instant first = reader.first();
        Duration firstToken = first == null ? null : Duration.between(intended, first);
        return new Answer(
                arrival,
                outcome(reader, result),
                firstToken,
                completion,
                List.copyOf(reader.gaps()));
    }

    private static String outcome(StreamReader reader, Result result) {
        if (reader.errorKind() != null) {
            return reader.errorKind();
        }
        return result.isSucceeded() && reader.isWhole() ? Answer.WHOLE : Answer.NO_ANSWER;
    }

    private Body body(Arrival arrival) {
        String workClass = arrival.workClass().value();
        boolean due = workClass.equals("due_by");
        String dueAt = due ? mClock.instant().plusSeconds(DUE_AFTER_SECONDS).toString() : null;
        return new Body(
                arrival.model(),
                arrival.prompt(),
                mPlan.maximumTokens(),
                true,
                workClass.toLowerCase(Locale.ROOT),
                dueAt);
    }

    private record Body(
            String model,
            String prompt,
            int maxTokens,
            boolean stream,
            String workClass,
            String due) {}
}
