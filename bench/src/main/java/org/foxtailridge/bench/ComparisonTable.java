package org.foxtailridge.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Figures of a comparison: a heading for each column and a row for each policy and demand.
 *
 * <pre>{@code
 * ComparisonTable table =
 *         ComparisonTable.builder("limits", List.of("policy", "refused inside rate"))
 *                 .row(List.of("equal split", "0.2130"))
 *                 .build();
 * }</pre>
 *
 * @param title name of the comparison
 * @param columns headings
 * @param rows cells of each row, as many as there are headings
 */
public record ComparisonTable(String title, List<String> columns, List<List<String>> rows) {
    private static final String GAP = "  ";

    /** Copies the lists. */
    public ComparisonTable {
        Objects.requireNonNull(title, "title");
        columns = List.copyOf(columns);
        rows = rows.stream().map(List::copyOf).toList();
    }

    /** Returns a builder of a table with the given headings. */
    public static Builder builder(String title, List<String> columns) {
        return new Builder(title, columns);
    }

    /** Returns the table as aligned plain text. */
    public String toText() {
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns);
        lines.addAll(rows);
        return title
                + "\n"
                + lines.stream().map(this::alignedLine).collect(Collectors.joining("\n"))
                + "\n";
    }

    private String alignedLine(List<String> cells) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            String cell = cells.get(column);
            line.append(cell).append(" ".repeat(widthOf(column) - cell.length())).append(GAP);
        }
        return line.toString().stripTrailing();
    }

    private int widthOf(int column) {
        int width = columns.get(column).length();
        for (List<String> row : rows) {
            width = Math.max(width, row.get(column).length());
        }
        return width;
    }

    /** Builds a {@link ComparisonTable}. */
    public static final class Builder {
        private final String mTitle;
        private final List<String> mColumns;
        private final List<List<String>> mRows = new ArrayList<>();

        private Builder(String title, List<String> columns) {
            mTitle = title;
            mColumns = columns;
        }

        /**
         * Adds a row.
         *
         * @param cells as many cells as there are headings
         */
        public Builder row(List<String> cells) {
            if (cells.size() != mColumns.size()) {
                throw new IllegalArgumentException(
                        "expected " + mColumns.size() + " cells but was " + cells.size());
            }
            mRows.add(cells);
            return this;
        }

        /** Returns the table. */
        public ComparisonTable build() {
            return new ComparisonTable(mTitle, mColumns, mRows);
        }
    }
}
