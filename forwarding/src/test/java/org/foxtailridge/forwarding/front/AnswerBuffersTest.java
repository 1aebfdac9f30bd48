package org.foxtailridge.forwarding.front;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.foxtailridge.forwarding.http.FaultyEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a node that runs out of memory because many requests at once wait for the rest of
 * an answer or of an event, each within the limit of one request.
 */
class AnswerBuffersTest {
    private static final int REQUESTS = 400;
    // Leaves 32 KiB for answers.
    private static final int SMALL_HEAP_BYTES = 256 * 1024;
    private static final int UNFINISHED_BYTES = 200 * 1024;
    private static final int WHOLE_BYTES = 200 * 1024;
    private static final int SMALL_BYTES = 2 * 1024;
    private static final int TIMEOUT_MILLISECONDS = 30_000;
    private static final Duration LONG = Duration.ofSeconds(120);
    private static final Duration WAIT = Duration.ofSeconds(30);
    private static final Duration BETWEEN_COLLECTIONS = Duration.ofMillis(200);
    private static final int COLLECTIONS = 10;
    private static final String EVENTS = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    private static final String LENGTH = "Connection: close\r\nContent-Length: ";
    private static final String END = "\r\n\r\n";

    private final List<Socket> mCallers = new ArrayList<>();

    @ParameterizedTest
    @CsvSource({
        "/stream/, '" + EVENTS + LENGTH + UNFINISHED_BYTES + "0" + END + "'",
        "/plain/, 'HTTP/1.1 500 Failed\r\n" + LENGTH + UNFINISHED_BYTES + "0" + END + "'",
        "/plain/, 'HTTP/1.1 404 Missing\r\n" + LENGTH + UNFINISHED_BYTES + "0" + END + "'",
    })
    void should_hold_a_quarter_of_the_heap_for_unfinished_answers(String path, String start)
            throws Exception {
        try (FaultyEndpoint faulty = FaultyEndpoint.start(start, "x", UNFINISHED_BYTES);
                FaultyEndpoint sound = FaultyEndpoint.start(whole(SMALL_BYTES), "", 0);
                LoopbackForwarder forwarder = new LoopbackForwarder(LONG)) {
            forwarder.endpoint(faulty.address());
            long before = usedHeap();

            // WHEN
            for (int request = 0; request < REQUESTS; request++) {
                request(forwarder, path);
            }
            Awaitility.await().atMost(WAIT).until(() -> faulty.requests() == REQUESTS);

            // THEN the node holds little, and serves other requests
            assertThat(heldBytes(before)).isLessThan(LoopbackForwarder.NODE_HEAP_BYTES / 4);
            forwarder.onlyEndpoint(sound.address());
            assertThat(read(request(forwarder, "/plain/"), SMALL_BYTES)).startsWith("HTTP/1.1 200");
        } finally {
            closeCallers();
        }
    }

    @Test
    void should_hold_a_quarter_of_the_heap_for_failures_while_another_endpoint_is_tried()
            throws Exception {
        String failure = whole(UNFINISHED_BYTES).replace("200 OK", "500 Failed");
        try (FaultyEndpoint faulty = FaultyEndpoint.start(failure, "", 0);
                FaultyEndpoint silent = FaultyEndpoint.start("", "", 0);
                LoopbackForwarder forwarder = new LoopbackForwarder(LONG)) {
            forwarder.endpoint(faulty.address()).endpoint(silent.address());
            long before = usedHeap();

            // WHEN
            for (int request = 0; request < REQUESTS; request++) {
                request(forwarder, "/plain/");
            }
            Awaitility.await().atMost(WAIT).until(() -> silent.requests() == REQUESTS);

            // THEN
            assertThat(heldBytes(before)).isLessThan(LoopbackForwarder.NODE_HEAP_BYTES / 4);
        } finally {
            closeCallers();
        }
    }

    @Test
    void should_forward_a_sound_answer_that_does_not_fit_as_it_arrives() throws Exception {
        try (FaultyEndpoint endpoint = FaultyEndpoint.start(whole(WHOLE_BYTES), "", 0);
                LoopbackForwarder forwarder = new LoopbackForwarder(LONG, SMALL_HEAP_BYTES)) {
            // GIVEN less room for answers than one of them needs
            forwarder.endpoint(endpoint.address());

            // WHEN
            String answer = read(request(forwarder, "/plain/"), WHOLE_BYTES);

            // THEN
            assertThat(answer).startsWith("HTTP/1.1 200").hasSizeGreaterThan(WHOLE_BYTES);
            assertThat(forwarder.bufferedBytes()).isZero();
        } finally {
            closeCallers();
        }
    }

    @Test
    void should_release_the_largest_buffer_first() {
        // GIVEN
        List<String> released = new ArrayList<>();
        AnswerBuffers buffers = AnswerBuffers.forHeap(800);
        AnswerBuffers.Holder small = () -> released.add("small");
        AnswerBuffers.Holder large = () -> released.add("large");
        buffers.resized(small, 10);
        buffers.resized(large, 85);

        // WHEN
        buffers.resized(small, 16);

        // THEN
        assertThat(released).containsExactly("large");
        assertThat(buffers.totalBytes()).isEqualTo(16);
    }

    @Test
    void should_release_a_buffer_that_does_not_fit_alone() {
        // GIVEN
        List<String> released = new ArrayList<>();
        AnswerBuffers buffers = AnswerBuffers.forHeap(800);

        // WHEN
        buffers.resized(() -> released.add("large"), 101);

        // THEN
        assertThat(released).containsExactly("large");
        assertThat(buffers.totalBytes()).isZero();
    }

    private Socket request(LoopbackForwarder forwarder, String path) throws IOException {
        Socket caller = new Socket();
        mCallers.add(caller);
        caller.connect(forwarder.address());
        caller.setSoTimeout(TIMEOUT_MILLISECONDS);
        caller.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n").getBytes(ISO_8859_1));
        return caller;
    }

    private void closeCallers() throws IOException {
        for (Socket caller : mCallers) {
            caller.close();
        }
    }

    private static String whole(int bytes) {
        return "HTTP/1.1 200 OK\r\n" + LENGTH + bytes + END + "x".repeat(bytes);
    }

    /** Reads an answer up to the end of its body. */
    private static String read(Socket caller, int bodyBytes) throws IOException {
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf(END) < 0) {
            answer.append((char) caller.getInputStream().read());
        }
        byte[] body = caller.getInputStream().readNBytes(bodyBytes);
        return answer + new String(body, ISO_8859_1);
    }

    private static long heldBytes(long before) throws InterruptedException {
        long held = 0;
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            Thread.sleep(BETWEEN_COLLECTIONS.toMillis());
            held = Math.max(held, usedHeap() - before);
        }
        return held;
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
