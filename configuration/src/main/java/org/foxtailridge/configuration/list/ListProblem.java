package org.foxtailridge.configuration.list;

import java.util.Objects;

/**
 * One problem of a list file and where it is.
 *
 * @param file name of the file
 * @param line line, from 1 on
 * @param key key or table that has the problem, for example {@code plan.burst_tokens}
 * @param message what is allowed and what was found
 */
public record ListProblem(String file, int line, String key, String message) {
    /** Checks that no part is missing. */
    public ListProblem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        return file + ":" + line + ": " + key + ": " + message;
    }
}
