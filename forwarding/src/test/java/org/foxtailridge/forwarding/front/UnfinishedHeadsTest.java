package org.foxtailridge.forwarding.front;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.foxtailridge.forwarding.http.FaultyEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a node that runs out of memory because an endpoint stops inside the heads of many
 * answers, each within the limit of one head.
 */
class UnfinishedHeadsTest {
    private static final int REQUESTS = 400;
    // Less than a head may have.
    private static final int HEAD_BYTES = 30 * 1024;
    private static final Duration LONG = Duration.ofSeconds(120);
    private static final Duration WAIT = Duration.ofSeconds(30);
    private static final Duration BETWEEN_COLLECTIONS = Duration.ofMillis(200);
    private static final int COLLECTIONS = 10;
    // A quarter of the heap, and of the direct memory, of a node that runs with -Xmx96m.
    private static final long MAXIMUM_BYTES = LoopbackForwarder.NODE_HEAP_BYTES / 4;

    private final List<Socket> mCallers = new ArrayList<>();

    @AfterEach
    void closeCallers() throws IOException {
        for (Socket caller : mCallers) {
            caller.close();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "a:\n", "Header: value of a header\r\n"})
    void should_hold_a_quarter_of_its_memory_for_unfinished_heads(String repeated)
            throws Exception {
        String head = "HTTP/1.1 200 OK\r\n" + repeated.repeat(HEAD_BYTES / repeated.length());
        try (FaultyEndpoint endpoint = FaultyEndpoint.start(head, "", 0);
                LoopbackForwarder forwarder = new LoopbackForwarder(LONG)) {
            forwarder.endpoint(endpoint.address());
            long heapBefore = usedHeap();
            long directBefore = usedDirectMemory();

            // WHEN
            for (int request = 0; request < REQUESTS; request++) {
                request(forwarder);
            }
            Awaitility.await().atMost(WAIT).until(() -> endpoint.requests() == REQUESTS);

            // THEN
            long heap = 0;
            long direct = 0;
            for (int collection = 0; collection < COLLECTIONS; collection++) {
                Thread.sleep(BETWEEN_COLLECTIONS.toMillis());
                heap = Math.max(heap, usedHeap() - heapBefore);
                direct = Math.max(direct, usedDirectMemory() - directBefore);
            }
            assertThat(heap).as("heap").isLessThan(MAXIMUM_BYTES);
            assertThat(direct).as("direct memory").isLessThan(MAXIMUM_BYTES);
        }
    }

    private void request(LoopbackForwarder forwarder) throws IOException {
        Socket caller = new Socket();
        mCallers.add(caller);
        caller.connect(forwarder.address());
        caller.getOutputStream()
                .write("GET /plain/ HTTP/1.1\r\nHost: host\r\n\r\n".getBytes(ISO_8859_1));
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static long usedDirectMemory() {
        return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT)
                .metric()
                .usedDirectMemory();
    }
}
