package org.foxtailridge.forwarding.front;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.foxtailridge.forwarding.http.FaultyEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a node that keeps in memory what an endpoint sends without end to a caller that
 * does not read.
 */
class SlowCallerTest {
    // Direct memory of a node that runs with -Xmx96m; what the sockets hold counts too.
    private static final long NODE_BYTES = 96L * 1024 * 1024;
    private static final Duration QUIET = Duration.ofMillis(500);
    private static final Duration LONG = Duration.ofSeconds(60);
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + CHUNKED;
    private static final String PLAIN = "HTTP/1.1 200 OK\r\n" + CHUNKED;
    private static final int CHUNK_BYTES = 16 * 1024;
    // Together more than the buffers of the caller's connection hold.
    private static final int EARLIER_ANSWERS = 64;
    private static final int WHOLE_BYTES = 200 * 1024;
    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                    + WHOLE_BYTES
                    + "\r\n\r\n"
                    + "x".repeat(WHOLE_BYTES);

    private final LoopbackForwarder mForwarder = new LoopbackForwarder(LONG);

    @AfterEach
    void stop() {
        mForwarder.close();
    }

    @Test
    void should_pause_an_answer_whose_caller_does_not_read() throws Exception {
        try (FaultyEndpoint endpoint = FaultyEndpoint.start(PLAIN, chunk("x".repeat(CHUNK_BYTES)));
                Socket caller = connect()) {
            // GIVEN
            mForwarder.endpoint(endpoint.address());

            // WHEN
            request(caller, "/plain/");

            // THEN
            assertThat(sentUntilPaused(endpoint)).isLessThan(NODE_BYTES);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/plain/", "/stream/"})
    void should_pause_an_answer_behind_earlier_ones_that_the_caller_has_not_read(String path)
            throws Exception {
        String head = path.equals("/plain/") ? PLAIN : STREAM;
        try (FaultyEndpoint sound = FaultyEndpoint.start(WHOLE, "", 0);
                FaultyEndpoint endless = FaultyEndpoint.start(head, chunk(event(CHUNK_BYTES)));
                Socket caller = connect()) {
            // GIVEN a caller that has requested many answers and reads none of them
            mForwarder.endpoint(sound.address());
            for (int request = 0; request < EARLIER_ANSWERS; request++) {
                request(caller, "/plain/");
            }
            Awaitility.await()
                    .atMost(LONG)
                    .until(() -> sound.requests() == EARLIER_ANSWERS && mForwarder.underWay() == 0);

            // WHEN
            mForwarder.onlyEndpoint(endless.address());
            request(caller, path);
            Awaitility.await().atMost(LONG).until(() -> endless.requests() == 1);

            // THEN
            assertThat(sentUntilPaused(endless)).isLessThan(NODE_BYTES);
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(CHUNK_BYTES);
        caller.connect(mForwarder.address());
        return caller;
    }

    private static void request(Socket caller, String path) throws IOException {
        caller.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n").getBytes(US_ASCII));
    }

    /** Waits until an endpoint can't send for a while, or has sent more than a node can hold. */
    private static long sentUntilPaused(FaultyEndpoint endpoint) {
        long[] before = {-1};
        Awaitility.await()
                .atMost(LONG)
                .pollDelay(Duration.ZERO)
                .pollInterval(QUIET)
                .until(
                        () -> {
                            long sent = endpoint.sentBytes();
                            boolean paused = sent == before[0] || sent > NODE_BYTES;
                            before[0] = sent;
                            return paused;
                        });
        return before[0];
    }

    private static String chunk(String content) {
        return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
    }

    private static String event(int bytes) {
        return "data: " + "x".repeat(bytes) + "\n\n";
    }
}
