package org.foxtailridge.standins.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Compares a stream with a list of everything that was ever appended. */
class LogStreamPropertyTest {
    private static final int RETAINED = 5;
    private static final Duration RETENTION = Duration.ofSeconds(20);

    @Property(seed = "31", tries = 2_000)
    void should_read_what_a_full_list_filtered_by_retention_gives(
            @ForAll @Size(max = 40) List<@IntRange(max = 11) Integer> steps) {
        // GIVEN
        LogStream stream = new LogStream(RETAINED, RETENTION);
        List<LogRecord> all = new ArrayList<>();
        Instant now = Instant.EPOCH;
        for (int step : steps) {
            // WHEN
            now = now.plusSeconds(step);
            long first = stream.append(List.of("a" + step, "b"), now);
            all.add(new LogRecord(first, now.toEpochMilli(), "a" + step));
            all.add(new LogRecord(first + 1, now.toEpochMilli(), "b"));
            // THEN
            long from = Math.max(0, first - step);
            assertThat(first).isEqualTo(all.size() - 2L);
            assertThat(stream.read(from, 3, now).records())
                    .isEqualTo(
                            retained(all, now).stream()
                                    .filter(r -> r.offset() >= from)
                                    .limit(3)
                                    .toList());
        }
    }

    private static List<LogRecord> retained(List<LogRecord> all, Instant now) {
        long oldest = now.minus(RETENTION).toEpochMilli();
        return all.subList(Math.max(0, all.size() - RETAINED), all.size()).stream()
                .filter(record -> record.timeMs() >= oldest)
                .toList();
    }
}
