package org.foxtailridge.bench.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.foxtailridge.bench.ComparisonTable;
import org.junit.jupiter.api.Test;

/** Checks the time for an edit to be in force and the bytes that it takes against the targets. */
class PropagationComparisonTest {
    private static final double TARGET_SECONDS_AT_9_NODES = 2;
    private static final double TARGET_SECONDS_AT_1098_NODES = 13;
    private static final double TARGET_BYTES_PER_SECOND = 2_000;
    private static final int NODES = 1;
    private static final int LARGEST_SECONDS = 4;
    private static final int BYTES_PER_SECOND = 5;

    @Test
    void should_bring_edits_into_force_within_the_targets() {
        // WHEN
        ComparisonTable table = new PropagationComparison().run(1);
        // THEN
        List<List<String>> chosen =
                table.rows().stream()
                        .filter(row -> row.get(0).equals(RelayPolicy.ADVERTISE.description()))
                        .toList();
        assertThat(chosen).hasSize(4);
        for (List<String> row : chosen) {
            boolean small = row.get(NODES).equals("9");
            double target = small ? TARGET_SECONDS_AT_9_NODES : TARGET_SECONDS_AT_1098_NODES;
            assertThat(Double.parseDouble(row.get(LARGEST_SECONDS))).isLessThan(target);
            assertThat(Double.parseDouble(row.get(BYTES_PER_SECOND)))
                    .isLessThan(TARGET_BYTES_PER_SECOND);
        }
    }
}
