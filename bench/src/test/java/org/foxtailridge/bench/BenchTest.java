package org.foxtailridge.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Lists and runs comparisons and keeps their rows. */
class BenchTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @Test
    void should_list_each_comparison_once() {
        assertThat(run("list")).isZero();
        assertThat(text(mOut).lines()).hasSize(8).doesNotHaveDuplicates().contains("claims");
    }

    @Test
    void should_refuse_an_unknown_comparison_and_name_the_known_ones() {
        assertThat(run("run", "no-such")).isEqualTo(2);
        assertThat(text(mErr)).contains("claims").contains("but was no-such");
    }

    @Test
    void should_refuse_results_without_date_and_commit() {
        assertThat(run("run", "claims", "--results", "unused.csv")).isEqualTo(2);
        assertThat(Path.of("unused.csv")).doesNotExist();
    }

    @Test
    void should_append_each_row_below_one_heading(@TempDir Path directory) throws IOException {
        // GIVEN
        Path file = directory.resolve("results.csv");
        ComparisonTable table =
                ComparisonTable.builder("shares", List.of("policy", "share"))
                        .row(List.of("equal, \"fixed\"", "0.2"))
                        .build();
        // WHEN
        new ResultsFile(file).append("2026-12-04", "0abc", 1, "shares", table);
        new ResultsFile(file).append("2026-12-05", "1abc", 2, "shares", table);
        // THEN
        assertThat(Files.readAllLines(file))
                .containsExactly(
                        "date,commit,seed,comparison,cells",
                        "2026-12-04,0abc,1,shares,\"policy=equal, \"\"fixed\"\"\",share=0.2",
                        "2026-12-05,1abc,2,shares,\"policy=equal, \"\"fixed\"\"\",share=0.2");
    }

    private int run(String... arguments) {
        return Bench.run(List.of(arguments), new PrintStream(mOut), new PrintStream(mErr));
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
