package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a caller's body in small chunks that holds up the event loop of the node. */
class BodyInSmallChunksTest {
    // An answer is late half a second after the timeout of its route.
    private static final long MAXIMUM_CPU_NANOSECONDS = 500_000_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    @ParameterizedTest
    @CsvSource({"8, 524288", "64, 65536", "3, 1000", "1, 128", "1, 129"})
    void should_copy_each_byte_of_a_body_at_most_once(int chunkBytes, int chunks) {
        // GIVEN a request whose body arrives in small chunks
        byte[] body = new byte[chunkBytes * chunks];
        for (int index = 0; index < body.length; index++) {
            body[index] = (byte) (index / chunkBytes);
        }
        ByteBuf received = Unpooled.wrappedBuffer(body);
        IncomingRequest request =
                new IncomingRequest(
                        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"), 0);
        long start = THREADS.getCurrentThreadCpuTime();
        // WHEN it is aggregated
        for (int chunk = 0; chunk < chunks; chunk++) {
            request.add(received.readRetainedSlice(chunkBytes), body.length);
        }
        long cpu = THREADS.getCurrentThreadCpuTime() - start;
        // THEN it is whole, at a cost that other requests do not notice
        assertThat(request.body()).isEqualTo(Unpooled.wrappedBuffer(body));
        assertThat(cpu).as("CPU time in ns").isLessThan(MAXIMUM_CPU_NANOSECONDS);
        request.release();
        received.release();
    }
}
