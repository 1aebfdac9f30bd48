package org.foxtailridge.core.name;

import java.util.regex.Pattern;

/** Syntax check of names. */
public final class Names {
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    private Names() {}

    /** Returns whether the value is an allowed name; false for null. */
    public static boolean isName(String value) {
        return value != null && ALLOWED.matcher(value).matches();
    }

    /**
     * Returns the value if it is an allowed name: 1 to 128 letters, digits, dots, underscores,
     * colons and hyphens, of which the first is a letter or digit.
     *
     * @throws IllegalArgumentException if the value is not an allowed name
     */
    public static String requireName(String value) {
        if (!isName(value)) {
            throw new IllegalArgumentException(
                    "expected a name matching " + ALLOWED.pattern() + " but was \"" + value + "\"");
        }
        return value;
    }
}
