package org.foxtailridge.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A file of comma-separated values with a line for each row that a comparison gave: date, commit,
 * seed, comparison, then each cell as {@code heading=value}.
 */
public final class ResultsFile {
    private static final String HEADING = "date,commit,seed,comparison,cells";

    private final Path mFile;

    /** Names the file; it is created with the first rows. */
    public ResultsFile(Path file) {
        mFile = Objects.requireNonNull(file, "file");
    }

    /**
     * Appends all rows of a table.
     *
     * @param date date of the run
     * @param commit commit that was run
     * @param seed seed of the run
     * @param comparison name of the comparison
     * @param table what it gave
     */
    public void append(
            String date, String commit, long seed, String comparison, ComparisonTable table) {
        String prefix =
                String.join(
                        ",", quoted(date), quoted(commit), Long.toString(seed), quoted(comparison));
        StringBuilder lines = new StringBuilder(Files.exists(mFile) ? "" : HEADING + "\n");
        for (List<String> row : table.rows()) {
            lines.append(prefix).append(',').append(cells(table.columns(), row)).append('\n');
        }
        try {
            Files.writeString(mFile, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static String cells(List<String> columns, List<String> row) {
        return IntStream.range(0, row.size())
                .mapToObj(column -> quoted(columns.get(column) + "=" + row.get(column)))
                .collect(Collectors.joining(","));
    }

    private static String quoted(String value) {
        boolean plain = value.chars().noneMatch(letter -> ",\"\n\r".indexOf(letter) >= 0);
        return plain ? value : "\"" + value.replace("\"", "\"\"") + "\"";
    }
}
