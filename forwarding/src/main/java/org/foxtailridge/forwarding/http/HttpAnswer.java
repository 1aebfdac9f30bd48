package org.foxtailridge.forwarding.http;

import java.util.Objects;

/**
 * Complete answer to a call.
 *
 * @param status HTTP status code
 * @param body body, not copied; must not be changed
 */
public record HttpAnswer(int status, byte[] body) {
    /** Creates an answer; the body may be empty but not null. */
    public HttpAnswer {
        Objects.requireNonNull(body, "body");
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
