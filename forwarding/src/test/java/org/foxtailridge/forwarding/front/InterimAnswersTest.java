package org.foxtailridge.forwarding.front;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.foxtailridge.forwarding.http.FaultyEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a sound answer that fails because its endpoint announced its progress often. */
class InterimAnswersTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String PROGRESS = "HTTP/1.1 102 Processing\r\n\r\n";
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    @ParameterizedTest
    @ValueSource(ints = {1, 16, 17, 60})
    void should_forward_the_answer_behind_interim_ones(int interimAnswers) throws IOException {
        String sent = PROGRESS.repeat(interimAnswers) + ANSWER;
        try (FaultyEndpoint endpoint = FaultyEndpoint.start(sent, "", 0);
                LoopbackForwarder forwarder = new LoopbackForwarder(TIMEOUT);
                Socket caller = new Socket()) {
            // GIVEN
            forwarder.endpoint(endpoint.address());
            caller.connect(forwarder.address());

            // WHEN
            caller.getOutputStream()
                    .write("GET /plain/ HTTP/1.1\r\nHost: host\r\n\r\n".getBytes(ISO_8859_1));
            byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 200".length());

            // THEN
            assertThat(new String(status, ISO_8859_1)).isEqualTo("HTTP/1.1 200");
        }
    }
}
