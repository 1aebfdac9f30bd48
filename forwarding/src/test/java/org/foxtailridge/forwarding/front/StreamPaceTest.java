package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against streams that are expected to end earlier than recent ones have ended. */
class StreamPaceTest {
    private static final int TOKENS = 100;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final StreamPace mPace = new StreamPace(mClock);

    @ParameterizedTest
    @CsvSource({"100, 3000", "200, 5500"})
    void should_expect_a_stream_to_be_a_quarter_slower_than_the_slowest(int tokens, long expected) {
        // GIVEN streams of which one was slow to begin and another slow to go on
        mPace.record(stream("m1", TOKENS), 400, 1_400);
        mPace.record(stream("m1", TOKENS), 100, 2_100);
        // WHEN another one arrives, THEN it may be slow in both
        assertThat(mPace.expectedMilliseconds(stream("m1", tokens))).isEqualTo(expected);
    }

    @Test
    void should_measure_each_model_by_itself() {
        mPace.record(stream("small", TOKENS), 100, 2_100);
        mPace.record(stream("large", TOKENS), 100, 4_100);
        assertThat(mPace.expectedMilliseconds(stream("small", TOKENS))).isEqualTo(2_625);
    }

    @Test
    void should_take_the_slowest_of_the_service_for_a_model_without_a_measurement() {
        mPace.record(stream("small", TOKENS), 100, 1_100);
        mPace.record(stream("large", TOKENS), 100, 4_100);
        assertThat(mPace.expectedMilliseconds(stream("other", TOKENS))).isEqualTo(5_125);
    }

    @Test
    void should_forget_a_slow_stream_after_two_intervals() {
        // GIVEN a slow stream, and faster ones in the intervals after it
        mPace.record(stream("m1", TOKENS), 100, 8_100);
        for (int interval = 0; interval < 2; interval++) {
            mClock.advance(Duration.ofSeconds(30));
            mPace.record(stream("m1", TOKENS), 100, 2_100);
        }
        // WHEN another one arrives, THEN only the faster ones count
        assertThat(mPace.expectedMilliseconds(stream("m1", TOKENS))).isEqualTo(2_625);
    }

    @Test
    void should_not_expect_a_stream_to_be_as_fast_as_the_few_of_its_model() {
        // GIVEN one stream, of an engine that ran nothing else
        mPace.record(stream("rare", TOKENS), 50, 400);
        // WHEN another one arrives, THEN it may share a full batch
        assertThat(mPace.expectedMilliseconds(stream("rare", TOKENS))).isEqualTo(2_200);
    }

    private static ResolvedRequest stream(String model, int tokens) {
        return TestRequests.of(RequestKind.STREAM).model(model).outputTokens(tokens).build();
    }
}
