package org.foxtailridge.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.EOFException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.standins.TestClient;
import org.foxtailridge.standins.time.ManualEventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks answers, the record of executions and each fault switch of the service. */
class ServiceStandinTest {
    private final TestClient mClient = new TestClient();
    private final ManualEventLoop mLoop = ManualEventLoop.atEpoch();
    private final ServiceStandin mService = ServiceStandin.builder().loop(mLoop).start();

    @AfterEach
    void close() {
        mService.close();
    }

    @Test
    void should_repeat_lookups_and_number_bookings() {
        assertThat(call("/lookups/1").body()).isEqualTo(call("/lookups/1").body());
        assertThat(call("/bookings").body()).contains("\"confirmation\":1");
        assertThat(call("/bids").body()).contains("\"confirmation\":2");
    }

    @ParameterizedTest
    @ValueSource(strings = {"Authorization: Bearer x", "X-Other: fr_abc_secret", "Cookie: a=b"})
    void should_note_headers_with_credentials(String header) {
        // GIVEN
        String[] parts = header.split(": ");
        // WHEN
        mClient.send("POST", mService.address(), "/bookings", "", parts[0], parts[1]).join();
        call("/bookings");
        // THEN
        assertThat(executions())
                .containsOnlyOnce("\"authorization_seen\":true")
                .containsOnlyOnce("\"authorization_seen\":false");
    }

    @ParameterizedTest
    @ValueSource(strings = {"lose_answers", "half_answer"})
    void should_execute_although_the_answer_does_not_arrive(String fault) {
        // GIVEN
        setFaults("{\"" + fault + "\":1}");
        // WHEN
        assertThatThrownBy(() -> call("/bookings")).isInstanceOf(Exception.class);
        // THEN
        assertThat(executions()).contains("/bookings");
        assertThat(call("/bookings").body()).contains("\"confirmation\":2");
    }

    @Test
    void should_not_execute_what_it_refuses_or_cuts_before() {
        // GIVEN
        setFaults("{\"not_started\":1,\"cut_before\":1}");
        // WHEN
        HttpResponse<String> refused = call("/bookings");
        // THEN
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.headers().firstValue("X-Not-Started")).contains("true");
        assertThatThrownBy(() -> call("/bookings")).hasRootCauseInstanceOf(EOFException.class);
        assertThat(executions()).isEqualTo("{\"executions\":[]}");
    }

    @Test
    void should_answer_for_another_attempt_or_late() {
        // GIVEN
        setFaults("{\"other_answer\":1}");
        // THEN
        assertThat(call("/lookups").body()).contains("\"attempt_id\":\"other-attempt\"");
        setFaults("{\"answer_late_ms\":1000}");
        CompletableFuture<HttpResponse<String>> late =
                mClient.send("POST", mService.address(), "/bookings", "");
        mLoop.advance(Duration.ofMillis(900));
        assertThat(late).isNotDone();
        while (!late.isDone()) {
            mLoop.advance(Duration.ofMillis(100));
        }
        assertThat(late.join().body()).contains("\"confirmation\":1");
    }

    @Test
    void should_crash_on_a_marked_call_and_come_back() {
        // GIVEN
        setFaults("{\"crash_marker\":\"boom\",\"crash_down_ms\":3000}");
        // WHEN
        assertThatThrownBy(() -> mClient.post(mService.address(), "/bookings", "boom"))
                .isInstanceOf(Exception.class);
        // THEN
        assertThatThrownBy(() -> call("/lookups")).isInstanceOf(Exception.class);
        mLoop.advance(Duration.ofSeconds(3));
        assertThat(call("/lookups").statusCode()).isEqualTo(200);
    }

    private void setFaults(String faults) {
        assertThat(mClient.post(mService.address(), "/faults", faults).statusCode()).isEqualTo(204);
    }

    private String executions() {
        return mClient.get(mService.address(), "/executions").body();
    }

    private HttpResponse<String> call(String path) {
        return mClient.send("POST", mService.address(), path, "{}", "X-Attempt-Id", "a").join();
    }
}
