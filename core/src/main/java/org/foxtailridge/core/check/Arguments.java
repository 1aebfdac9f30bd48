package org.foxtailridge.core.check;

import java.time.Duration;
import java.util.Objects;

/**
 * Checks of arguments; each returns the argument or fails with a message that names it.
 *
 * <pre>{@code
 * mPartBytes = Arguments.requirePositive(partBytes, "partBytes");
 * }</pre>
 */
public final class Arguments {
    private Arguments() {}

    /** Checks that a number is at least 1. */
    public static int requirePositive(int value, String name) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be at least 1 but was " + value);
        }
        return value;
    }

    /** Checks that a time is there and longer than 0. */
    public static Duration requirePositiveDuration(Duration value, String name) {
        Objects.requireNonNull(value, name);
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " must be longer than 0 but was " + value);
        }
        return value;
    }
}
