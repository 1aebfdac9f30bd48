package org.foxtailridge.forwarding.front;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.http.FaultyEndpoint;
import org.junit.jupiter.api.Test;

/** Guards against the part of one endpoint that is logged and counted as that of the next one. */
class StreamAttemptCountTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String OUT_OF_ORDER =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\n\nid: 1\n\n";

    @Test
    void should_count_no_part_of_an_endpoint_that_was_not_reached() throws IOException {
        try (FaultyEndpoint first = FaultyEndpoint.start(OUT_OF_ORDER, "", 0);
                LoopbackForwarder forwarder = new LoopbackForwarder(TIMEOUT);
                Socket caller = new Socket()) {
            // GIVEN a second endpoint that accepts no connections
            forwarder.endpoint(first.address()).endpoint(closedAddress());

            // WHEN
            caller.connect(forwarder.address());
            caller.getOutputStream()
                    .write("GET /stream/ HTTP/1.1\r\nHost: host\r\n\r\n".getBytes(ISO_8859_1));
            Awaitility.await().until(() -> forwarder.counted("foxtailridge_stream_attempts") > 0);
            Awaitility.await().until(() -> forwarder.underWay() == 0);

            // THEN
            assertThat(forwarder.counted("foxtailridge_stream_attempts")).isEqualTo(1);
        }
    }

    private static EndpointAddress closedAddress() throws IOException {
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new EndpointAddress("127.0.0.1", closed.getLocalPort());
        }
    }
}
