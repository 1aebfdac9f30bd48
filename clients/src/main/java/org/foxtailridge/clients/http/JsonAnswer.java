package org.foxtailridge.clients.http;

import org.foxtailridge.core.json.Json;

/**
 * Answer of an outside system.
 *
 * @param status HTTP status
 * @param body body, JSON in UTF-8
 */
public record JsonAnswer(int status, byte[] body) {
    private static final int OK_CLASS = 2;
    private static final int CLASS_SIZE = 100;

    /** Returns whether the status is in the class of successes. */
    public boolean isSuccess() {
        return status / CLASS_SIZE == OK_CLASS;
    }

    /** Reads the body as the given type. */
    public <T> T as(Class<T> type) {
        return Json.read(body, type);
    }
}
