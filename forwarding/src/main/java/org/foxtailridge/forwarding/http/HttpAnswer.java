package org.foxtailridge.forwarding.http;

import java.util.Objects;

/**
 * A whole answer to a call.
 *
 * @param status status code
 * @param body body; not to be changed
 */
public record HttpAnswer(int status, byte[] body) {
    /** Checks that there is a body. */
    public HttpAnswer {
        Objects.requireNonNull(body, "body");
    }

    /** Returns whether the call succeeded. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
