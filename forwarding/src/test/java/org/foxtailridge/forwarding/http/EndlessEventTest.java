package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an endpoint's unfinished event that holds up the event loop of the whole node. */
class EndlessEventTest {
    private static final int EVENT_BYTES = 1024 * 1024;
    // An answer is late half a second after the timeout of its route.
    private static final long MAXIMUM_CPU_NANOSECONDS = 500_000_000;
    private static final int MAXIMUM_ALLOCATED_BYTES = 16 * EVENT_BYTES;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    @ParameterizedTest
    @ValueSource(ints = {8, 64, 1_024})
    void should_copy_and_search_each_byte_of_an_unfinished_event_once(int chunkBytes) {
        // GIVEN a chunk that ends no event
        ByteBuf chunk =
                Unpooled.wrappedBuffer("x".repeat(chunkBytes).getBytes(StandardCharsets.US_ASCII));
        EventSplitter splitter = new EventSplitter();
        long allocated = THREADS.getCurrentThreadAllocatedBytes();
        long cpu = THREADS.getCurrentThreadCpuTime();
        // WHEN it arrives until the event is as large as a node accepts
        for (int received = 0; received < EVENT_BYTES; received += chunkBytes) {
            splitter.feed(chunk.slice()).release();
        }
        // THEN all is buffered, at a cost that other requests do not notice
        assertThat(splitter.partialBytes()).isEqualTo(EVENT_BYTES);
        assertThat(THREADS.getCurrentThreadAllocatedBytes() - allocated)
                .as("bytes allocated for an event of %d bytes", EVENT_BYTES)
                .isLessThan(MAXIMUM_ALLOCATED_BYTES);
        assertThat(THREADS.getCurrentThreadCpuTime() - cpu)
                .as("CPU time for an event of %d bytes, in ns", EVENT_BYTES)
                .isLessThan(MAXIMUM_CPU_NANOSECONDS);
        splitter.release();
    }

    @ParameterizedTest
    @ValueSource(strings = {"a\n|\nb", "a\r\n|\r\nb", "a\r\n\r|\nb", "a|\n\nb", "a\n\n|b"})
    void should_find_the_end_of_an_event_that_arrives_in_two_parts(String parts) {
        // GIVEN the bytes of one complete event and of the start of the next, in two parts
        String[] part = parts.split("\\|");
        EventSplitter splitter = new EventSplitter();
        // WHEN they arrive
        String passed = text(splitter.feed(bytes(part[0]))) + text(splitter.feed(bytes(part[1])));
        // THEN the complete event is passed on, the start of the next is buffered
        assertThat(passed + "b").isEqualTo(part[0] + part[1]);
        assertThat(splitter.partialBytes()).isEqualTo(1);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String text(ByteBuf bytes) {
        return bytes.toString(StandardCharsets.US_ASCII);
    }
}
