package org.foxtailridge.core.error;

import java.util.Locale;

/** Whether any endpoint began to execute the request that an answer belongs to. */
public enum ExecutionStarted {
    /** No endpoint began, and none will begin later. */
    NO,
    /** An endpoint may have begun. */
    UNKNOWN,
    /** An endpoint began. */
    YES;

    /** Returns the word used in answers: {@code no}, {@code unknown} or {@code yes}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
