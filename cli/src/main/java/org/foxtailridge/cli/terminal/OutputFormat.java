package org.foxtailridge.cli.terminal;

import java.util.function.Supplier;
import org.foxtailridge.core.json.Json;

/** Forms of a command's result. */
public enum OutputFormat {
    /** Lines for people. */
    TEXT,
    /** One JSON object. */
    JSON;

    /**
     * Prints a result.
     *
     * @param terminal where to print
     * @param result the result, printed as JSON in this format
     * @param text its text, printed in the other format
     */
    public void print(Terminal terminal, Object result, Supplier<String> text) {
        String printed = this == JSON ? Json.write(result) : text.get();
        terminal.out().println(printed.stripTrailing());
        terminal.out().flush();
    }
}
