package org.foxtailridge.core.check;

import java.time.Duration;
import java.util.Objects;

/**
 * Argument checks that return the value, or throw an {@link IllegalArgumentException} that names
 * the argument.
 *
 * <pre>{@code
 * mPartBytes = Arguments.requirePositive(partBytes, "partBytes");
 * }</pre>
 */
public final class Arguments {
    private Arguments() {}

    /** Requires a number of at least 1. */
    public static int requirePositive(int value, String name) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be at least 1 but was " + value);
        }
        return value;
    }

    /**
     * Requires a duration longer than 0.
     *
     * @throws NullPointerException if the duration is null
     */
    public static Duration requirePositiveDuration(Duration value, String name) {
        Objects.requireNonNull(value, name);
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " must be longer than 0 but was " + value);
        }
        return value;
    }
}
