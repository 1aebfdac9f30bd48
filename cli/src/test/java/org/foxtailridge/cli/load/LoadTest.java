package org.foxtailridge.cli.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.foxtailridge.cli.platform.OptionException;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.standins.service.ServiceFaults;
import org.foxtailridge.standins.service.ServiceStandin;
import org.junit.jupiter.api.Test;

/** Checks arrivals, the reading of streams, and that slow answers do not slow a load. */
class LoadTest {
    private static final String STREAM =
            """
            data: {"choices":[{"text":"a","finish_reason":null}]}

            data: {"choices":[{"text":"é","finish_reason":"length"}]}

            data: [DONE]

            """;

    @Test
    void should_repeat_arrivals_of_a_seed_at_the_rate_and_in_bursts() {
        // GIVEN
        LoadPlan plan = plan(List.of("http://127.0.0.1:1"), 200, 100);
        // WHEN
        List<Arrival> arrivals = all(plan);
        // THEN
        assertThat(all(plan)).isEqualTo(arrivals);
        long inBursts = arrivals.stream().filter(a -> a.at().toMillis() % 10_000 < 1_000).count();
        long outside = arrivals.size() - inBursts;
        assertThat(outside / 90.0).isCloseTo(200, within(10.0));
        assertThat(inBursts / 10.0).isCloseTo(800, within(40.0));
        long large = arrivals.stream().filter(a -> a.account().name().equals("large")).count();
        assertThat((double) large / arrivals.size()).isCloseTo(0.75, within(0.02));
    }

    @Property(seed = "71", tries = 300)
    void should_read_a_stream_whole_wherever_it_is_split(
            @ForAll @IntRange(max = 120) int first, @ForAll @IntRange(max = 120) int second) {
        // GIVEN
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        int from = Math.min(Math.min(first, second), bytes.length);
        int to = Math.min(Math.max(first, second), bytes.length);
        StreamReader reader = new StreamReader(ManualClock.atEpoch());
        // WHEN
        reader.accept(ByteBuffer.wrap(bytes, 0, from));
        reader.accept(ByteBuffer.wrap(bytes, from, to - from));
        assertThat(reader.isWhole()).isEqualTo(to > bytes.length - 2);
        reader.accept(ByteBuffer.wrap(bytes, to, bytes.length - to));
        // THEN
        assertThat(reader.isWhole()).isTrue();
        assertThat(reader.gaps()).hasSize(1);
    }

    @Property(seed = "72", tries = 500)
    void should_never_take_mangled_streams_for_whole(@ForAll @StringLength(max = 60) String text) {
        // GIVEN
        StreamReader reader = new StreamReader(ManualClock.atEpoch());
        // WHEN
        reader.accept(ByteBuffer.wrap(("data: " + text + "\n").getBytes(StandardCharsets.UTF_8)));
        reader.accept(ByteBuffer.wrap("data: [DONE]\n".getBytes(StandardCharsets.UTF_8)));
        reader.end();
        // THEN
        assertThat(reader.isWhole()).isFalse();
    }

    @Test
    void should_start_every_request_although_none_is_answered() {
        // GIVEN
        try (ServiceStandin service = ServiceStandin.builder().start()) {
            service.setFaults(new ServiceFaults(0, 0, 0, 0, 0, 1_500, null, 0, 0, 0));
            LoadPlan plan = plan(List.of(service.address().toString()), 20, 5);
            // WHEN
            LoadReport.Result result = new LoadRun(plan, new VirtualTerminal()).run().result();
            // THEN
            assertThat(result.groups().get(0).requests()).isEqualTo(all(plan).size());
            assertThat(result.groups().get(0).whole()).isZero();
            assertThat(result.groups().get(0).others())
                    .containsExactly(
                            new LoadReport.OutcomeCount(Answer.NO_ANSWER, all(plan).size()));
        }
    }

    @Test
    void should_refuse_shares_that_are_no_number_above_0() {
        assertThat(Weighted.parse("a=key,0.5")).isEqualTo(new Weighted("a", "key", 0.5));
        for (String text : List.of("a", "=key", "a=key,0", "a=key,x", "a=key,NaN")) {
            assertThatThrownBy(() -> Weighted.parse(text)).isInstanceOf(OptionException.class);
        }
    }

    private static List<Arrival> all(LoadPlan plan) {
        List<Arrival> arrivals = new ArrayList<>();
        new Arrivals(plan).forEachRemaining(arrivals::add);
        return arrivals;
    }

    private static LoadPlan plan(List<String> callers, double rate, long seconds) {
        return new LoadPlan(
                7,
                rate,
                4,
                Duration.ofSeconds(10),
                Duration.ofSeconds(1),
                Duration.ofSeconds(seconds),
                callers,
                List.of(new Weighted("large", "fr_a_b", 3), new Weighted("small", "fr_c_d", 1)),
                List.of("scribe"),
                List.of(new Weighted("interactive", "interactive", 1)),
                4,
                20,
                1_000);
    }
}
