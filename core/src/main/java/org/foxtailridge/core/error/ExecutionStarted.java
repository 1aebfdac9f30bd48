package org.foxtailridge.core.error;

import java.util.Locale;

/** Whether an endpoint started to execute the request of an answer. */
public enum ExecutionStarted {
    /** No endpoint has started, and none will. */
    NO,
    /** An endpoint may have started. */
    UNKNOWN,
    /** An endpoint has started. */
    YES;

    /** Returns the name in answers: {@code no}, {@code unknown} or {@code yes}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
