package org.foxtailridge.standins.log;

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

/** Checks offsets, retention, waiting reads, the append rate and each fault switch of the log. */
class LogStandinTest {
    private static final String RECORDS = "/streams/claims/records";
    private final TestClient mClient = new TestClient();
    private final ManualEventLoop mLoop = ManualEventLoop.atEpoch();
    private final LogStandin mLog =
            LogStandin.builder()
                    .loop(mLoop)
                    .retainedRecords(3)
                    .retention(Duration.ofSeconds(60))
                    .appendsPerSecond(4)
                    .start();

    @AfterEach
    void close() {
        mLog.close();
    }

    @Test
    void should_give_consecutive_offsets_and_show_the_gap_after_retention() {
        // WHEN
        String first = append("[\"a\",\"b\"]").body();
        String second = append("[\"c\",\"d\"]").body();
        // THEN
        assertThat(first).isEqualTo("{\"first_offset\":0,\"count\":2}");
        assertThat(second).isEqualTo("{\"first_offset\":2,\"count\":2}");
        assertThat(read(0))
                .startsWith("{\"first_retained\":1,\"next\":4,\"records\":[{\"offset\":1,");
        mLoop.advance(Duration.ofSeconds(61));
        assertThat(read(0)).isEqualTo("{\"first_retained\":4,\"next\":4,\"records\":[]}");
    }

    @Test
    void should_answer_a_waiting_read_on_append_and_at_its_end() {
        // GIVEN
        CompletableFuture<HttpResponse<String>> woken = waitingRead();
        // WHEN
        append("[\"a\"]");
        // THEN
        assertThat(woken.join().body()).contains("\"payload\":\"a\"");
        CompletableFuture<HttpResponse<String>> empty =
                mClient.send("GET", mLog.address(), RECORDS + "?from=1&wait_ms=500", "");
        while (!empty.isDone()) {
            mLoop.advance(Duration.ofMillis(100));
        }
        assertThat(empty.join().body()).endsWith("\"next\":1,\"records\":[]}");
    }

    @Test
    void should_refuse_appends_above_the_rate_until_time_has_passed() {
        // GIVEN
        for (int append = 0; append < 4; append++) {
            assertThat(append("[\"a\"]").statusCode()).isEqualTo(200);
        }
        // WHEN
        HttpResponse<String> refused = append("[\"b\"]");
        // THEN
        assertThat(refused.statusCode()).isEqualTo(429);
        assertThat(refused.headers().firstValue("Retry-After")).contains("1");
        mLoop.advance(Duration.ofSeconds(1));
        assertThat(append("[\"b\"]").statusCode()).isEqualTo(200);
    }

    @Test
    void should_take_effect_although_the_answer_is_lost() {
        // GIVEN
        mClient.post(mLog.address(), "/faults", "{\"lose_answers\":1}");
        // WHEN
        assertThatThrownBy(() -> append("[\"a\"]")).hasRootCauseInstanceOf(EOFException.class);
        // THEN
        assertThat(read(0)).contains("\"payload\":\"a\"");
        assertThat(append("[\"b\"]").statusCode()).isEqualTo(200);
    }

    @Test
    void should_refuse_appends_and_reads_during_an_outage() {
        // GIVEN
        CompletableFuture<HttpResponse<String>> waiting = waitingRead();
        // WHEN
        mLog.setFaults(LogFaults.outageOnly());
        // THEN
        assertThat(append("[\"a\"]").statusCode()).isEqualTo(503);
        assertThat(waiting.join().statusCode()).isEqualTo(503);
        mLog.setFaults(LogFaults.none());
        assertThat(read(0)).isEqualTo("{\"first_retained\":0,\"next\":0,\"records\":[]}");
    }

    @Test
    void should_delay_answers_while_slow() {
        // GIVEN
        mClient.post(mLog.address(), "/faults", "{\"slow_ms\":1000}");
        // WHEN
        CompletableFuture<HttpResponse<String>> slow =
                mClient.send("POST", mLog.address(), RECORDS, "{\"payloads\":[\"a\"]}");
        // THEN
        mLoop.advance(Duration.ofMillis(900));
        assertThat(slow).isNotDone();
        while (!slow.isDone()) {
            mLoop.advance(Duration.ofMillis(100));
        }
        assertThat(slow.join().statusCode()).isEqualTo(200);
    }

    @Test
    void should_refuse_connections_for_a_time() {
        // WHEN
        mClient.post(mLog.address(), "/faults", "{\"refuse_ms\":5000}");
        // THEN
        assertThatThrownBy(() -> read(0)).hasMessageContaining("ConnectException");
        mLoop.advance(Duration.ofMillis(5_000));
        assertThat(read(0)).contains("records");
    }

    private CompletableFuture<HttpResponse<String>> waitingRead() {
        return mClient.send("GET", mLog.address(), RECORDS + "?from=0&wait_ms=9000", "");
    }

    private HttpResponse<String> append(String payloads) {
        return mClient.post(mLog.address(), RECORDS, "{\"payloads\":" + payloads + "}");
    }

    private String read(long from) {
        return mClient.get(mLog.address(), RECORDS + "?from=" + from).body();
    }
}
