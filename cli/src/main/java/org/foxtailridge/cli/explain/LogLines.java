package org.foxtailridge.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.core.json.Json;

/**
 * Lines of several nodes in the order of their times.
 *
 * <p>What stands before the JSON of a line, such as the name of the node that a collector adds,
 * tells the source. Lines that are not a node's are counted and left out.
 *
 * <pre>{@code
 * LogLines lines = new LogLines();
 * lines.read("node-1.log", reader);
 * lines.inOrder();
 * }</pre>
 */
final class LogLines {
    private final List<LogLine> mLines = new ArrayList<>();
    private int mUnreadable;

    /**
     * Reads lines to the end.
     *
     * @param name name of the source for lines that name none
     * @param reader where to read from
     */
    void read(String name, Reader reader) {
        try {
            BufferedReader lines = new BufferedReader(reader);
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Optional<LogLine> parsed = parse(name, line);
                parsed.ifPresent(mLines::add);
                mUnreadable += parsed.isEmpty() && !line.isBlank() ? 1 : 0;
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the lines, the earliest first. */
    List<LogLine> inOrder() {
        return mLines.stream().sorted(Comparator.comparingLong(LogLine::timeMilliseconds)).toList();
    }

    /** Returns the number of lines that are not a node's. */
    int unreadable() {
        return mUnreadable;
    }

    private static Optional<LogLine> parse(String name, String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        JsonNode json;
        try {
            json = Json.read(line.substring(start), JsonNode.class);
        } catch (UncheckedIOException notJson) {
            // Counted by the caller: collectors mix lines of other programs in.
            return Optional.empty();
        }
        JsonNode fields = json.path("line");
        if (!fields.path("event").isTextual() || !json.path("time").isNumber()) {
            return Optional.empty();
        }
        return Optional.of(
                new LogLine(
                        source(name, line.substring(0, start)),
                        json.path("time").asLong(),
                        fields.path("event").asText(),
                        fields));
    }

    /** Returns the last word before the JSON, as collectors put times first. */
    private static String source(String name, String prefix) {
        String[] words = prefix.strip().split("\\s+");
        String last = words[words.length - 1];
        return last.isEmpty() ? name : last;
    }
}
