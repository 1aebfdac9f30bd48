package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.foxtailridge.endtoend.harness.AnswerFraming;
import org.foxtailridge.endtoend.harness.RawStreamFleet;
import org.foxtailridge.endtoend.harness.StreamFault;
import org.foxtailridge.endtoend.harness.StreamSoak;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Overlapping streams while workers break them off and workers and nodes come and go.
 *
 * <p>{@code -Dsoak.first-seed=1 -Dsoak.seeds=50 -Dsoak.seconds=60} plays more by hand.
 */
class StreamOrderSoakTest {
    private static final Set<StreamFault> BROKEN_OFF =
            EnumSet.of(
                    StreamFault.NONE,
                    StreamFault.KILLED_INSIDE_HEAD,
                    StreamFault.KILLED_BEHIND_HEAD,
                    StreamFault.KILLED_BETWEEN_EVENTS,
                    StreamFault.KILLED_INSIDE_EVENT,
                    StreamFault.CLOSED_BETWEEN_EVENTS,
                    StreamFault.CLOSED_INSIDE_EVENT,
                    StreamFault.RESET_BETWEEN_EVENTS,
                    StreamFault.RESET_INSIDE_EVENT,
                    StreamFault.RESET_BEHIND_COMMENT,
                    StreamFault.SECOND_ANSWER,
                    StreamFault.LATE_SECOND_ANSWER);

    static LongStream seeds() {
        long first = Long.getLong("soak.first-seed", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 1));
    }

    // Guards against framed streams that lose or repeat events when faults overlap.
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void should_keep_the_order_of_framed_streams(long seed) throws IOException {
        Set<AnswerFraming> framed = EnumSet.of(AnswerFraming.CHUNKED, AnswerFraming.LENGTH);
        assertOrder(StreamSoak.builder(seed).framings(framed).faults(BROKEN_OFF));
    }

    // Guards against any stream that loses or repeats events when faults overlap.
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void should_keep_the_order_of_all_streams(long seed) throws IOException {
        Set<StreamFault> faults = EnumSet.allOf(StreamFault.class);
        // Only events with ids belong to the protocol.
        faults.remove(StreamFault.RESET_BEHIND_EVENT_WITHOUT_ID);
        assertOrder(
                StreamSoak.builder(seed)
                        .framings(EnumSet.allOf(AnswerFraming.class))
                        .faults(faults)
                        .oldCallers());
    }

    // Guards against any stream that loses or repeats events, unless a living worker ends it early
    // in the way in which it ends a complete one.
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void should_keep_the_order_of_streams_whose_end_can_be_told(long seed) throws IOException {
        Set<StreamFault> faults = EnumSet.allOf(StreamFault.class);
        // Only events with ids belong to the protocol.
        faults.remove(StreamFault.RESET_BEHIND_EVENT_WITHOUT_ID);
        faults.remove(StreamFault.CLOSED_BETWEEN_EVENTS);
        assertOrder(
                StreamSoak.builder(seed)
                        .framings(EnumSet.allOf(AnswerFraming.class))
                        .faults(faults)
                        .oldCallers());
    }

    private static void assertOrder(StreamSoak.Builder soak) throws IOException {
        try (RawStreamFleet fleet = RawStreamFleet.start()) {
            // WHEN
            StreamSoak played = soak.seconds(Integer.getInteger("soak.seconds", 30)).play(fleet);
            // THEN
            List<String> violations = played.violations();
            assertThat(violations).as(played.summary()).isEmpty();
            assertThat(played.completed()).as(played.summary()).isPositive();
        }
    }
}
