package org.foxtailridge.forwarding.front;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.foxtailridge.forwarding.http.FaultyEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against endpoints that send bytes without end in a head or a body: the request must end,
 * with an error where nothing was forwarded, and the connection to the endpoint must close.
 */
class EndlessAnswerTest {
    private static final Duration SHORT = Duration.ofSeconds(6);
    private static final Duration LONG = Duration.ofSeconds(120);
    private static final Duration WAIT = Duration.ofSeconds(30);
    private static final int READ_BYTES = 64 * 1024;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String ONE_CHUNK = CHUNKED + "\r\n1\r\nx\r\n";
    private static final String CHUNK = "2\r\nxx\r\n";
    private static final String EVENTS = OK + "Content-Type: text/event-stream\r\n" + CHUNKED;

    @ParameterizedTest
    @CsvSource({
        // Heads: status line, header line, headers, and what may precede a head.
        "/plain/, '', 'x'",
        "/plain/, 'HTTP/1.1 200 ', 'x'",
        "/plain/, '" + OK + "Header: ', 'x'",
        "/plain/, '" + OK + "', 'Header: value\r\n'",
        "/plain/, '" + OK + "', 'a:\n'",
        "/plain/, '', '\r\n'",
        "/plain/, '', 'HTTP/1.1 102 Processing\r\n\r\n'",
        // Framing of a body: chunk size, chunk extension, trailers.
        "/plain/, '" + OK + CHUNKED + "\r\n', '0'",
        "/plain/, '" + OK + ONE_CHUNK + "2;', 'x'",
        "/plain/, '" + OK + ONE_CHUNK + "0\r\n', 'Trailer: value\r\n'",
        "/plain/, '" + OK + ONE_CHUNK + "0\r\nTrailer: ', 'x'",
        // Bodies that are buffered: a failure, a rejection, an event; and one that is skipped.
        "/plain/, 'HTTP/1.1 500 Failed\r\n\r\n', 'x'",
        "/plain/, 'HTTP/1.1 500 Failed\r\n" + CHUNKED + "\r\n', '" + CHUNK + "'",
        "/plain/, 'HTTP/1.1 404 Missing\r\n" + CHUNKED + "\r\n', '" + CHUNK + "'",
        "/stream/, '" + EVENTS + "\r\n', '" + CHUNK + "'",
        "/plain/, '" + OK + "Id: other\r\n" + CHUNKED + "\r\n', '" + CHUNK + "'",
    })
    void should_fail_a_request_long_before_its_deadline(String path, String start, String repeated)
            throws IOException {
        try (FaultyEndpoint endpoint = FaultyEndpoint.start(start, repeated);
                LoopbackForwarder forwarder = new LoopbackForwarder(LONG);
                Socket caller = request(forwarder.endpoint(endpoint.address()), path)) {
            // WHEN
            String status = readStatus(caller);

            // THEN
            assertThat(status).isEqualTo("HTTP/1.1 502");
            Awaitility.await().atMost(WAIT).until(() -> endpoint.openConnections() == 0);
        }
    }

    @Test
    void should_end_a_successful_answer_without_end_at_the_deadline() throws IOException {
        try (FaultyEndpoint endpoint = FaultyEndpoint.start(OK + "\r\n", "x");
                LoopbackForwarder forwarder = new LoopbackForwarder(SHORT);
                Socket caller = request(forwarder.endpoint(endpoint.address()), "/plain/")) {
            // GIVEN
            assertThat(readStatus(caller)).isEqualTo("HTTP/1.1 200");

            // WHEN the caller reads as fast as it can
            byte[] bytes = new byte[READ_BYTES];
            boolean open = true;
            while (open) {
                open = caller.getInputStream().read(bytes) >= 0;
            }

            // THEN
            Awaitility.await().atMost(WAIT).until(() -> endpoint.openConnections() == 0);
            assertThat(forwarder.underWay()).isZero();
        }
    }

    @Test
    void should_close_a_paused_answer_at_the_deadline() throws IOException {
        try (FaultyEndpoint endpoint = FaultyEndpoint.start(OK + "\r\n", "x");
                LoopbackForwarder forwarder = new LoopbackForwarder(SHORT);
                Socket caller = request(forwarder.endpoint(endpoint.address()), "/plain/")) {
            // WHEN the caller reads nothing
            Awaitility.await().atMost(WAIT).until(() -> endpoint.openConnections() == 1);

            // THEN
            Awaitility.await().atMost(WAIT).until(() -> endpoint.openConnections() == 0);
            assertThat(forwarder.underWay()).isZero();
            assertThat(caller.isClosed()).isFalse();
        }
    }

    private static String readStatus(Socket caller) throws IOException {
        byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
        return new String(status, ISO_8859_1);
    }

    private static Socket request(LoopbackForwarder forwarder, String path) throws IOException {
        Socket caller = new Socket();
        caller.connect(forwarder.address());
        caller.setSoTimeout((int) WAIT.toMillis());
        caller.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n").getBytes(ISO_8859_1));
        return caller;
    }
}
