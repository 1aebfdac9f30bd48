package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against events that are lost, repeated or passed on before they are complete. */
class EventSplitterTest {
    private final EventSplitter mSplitter = new EventSplitter();

    @Test
    void should_buffer_an_event_until_it_is_complete() {
        assertThat(feed("id: 1\ndata: a")).isEmpty();
        assertThat(feed("\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(mSplitter.partialBytes()).isPositive();
    }

    @Test
    void should_split_events_whose_lines_end_in_carriage_return_and_line_feed() {
        assertThat(feed("id: 7\r\ndata: a\r\n\r\n")).endsWith("\r\n\r\n");
    }

    @Test
    void should_return_the_partial_event_at_the_end_of_the_stream() {
        feed("id: 1\n\nid: 2");
        ByteBuf rest = mSplitter.takePartial();
        assertThat(rest.toString(StandardCharsets.UTF_8)).isEqualTo("id: 2");
        rest.release();
    }

    @Property(tries = 500, seed = "51")
    void should_pass_every_byte_once_and_only_complete_events(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder stream = new StringBuilder();
        for (int event = 0; event < 20; event++) {
            stream.append("id: ").append(event).append("\ndata: ");
            stream.append("x".repeat(random.nextInt(30))).append("\n\n");
        }
        EventSplitter splitter = new EventSplitter();
        StringBuilder passed = new StringBuilder();
        int position = 0;
        while (position < stream.length()) {
            int end = Math.min(stream.length(), position + 1 + random.nextInt(40));
            passed.append(feed(splitter, stream.substring(position, end)));
            assertThat(passed.isEmpty() || passed.toString().endsWith("\n\n")).isTrue();
            position = end;
        }
        assertThat(passed.toString()).isEqualTo(stream.toString());
    }

    private String feed(String text) {
        return feed(mSplitter, text);
    }

    private static String feed(EventSplitter splitter, String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        ByteBuf complete = splitter.feed(bytes);
        String passed = complete.toString(StandardCharsets.UTF_8);
        complete.release();
        bytes.release();
        return passed;
    }
}
