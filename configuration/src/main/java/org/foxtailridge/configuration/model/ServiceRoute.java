package org.foxtailridge.configuration.model;

import java.util.Objects;

/**
 * One route of a plain service.
 *
 * @param method HTTP method; {@code *} stands for all
 * @param path path below the service; a trailing {@code *} stands for any rest
 * @param idempotent whether a call may be repeated
 * @param open whether callers need no key
 * @param tokens tokens that a call is charged
 * @param timeoutMilliseconds time after which an answer is given up, in milliseconds
 */
public record ServiceRoute(
        String method,
        String path,
        boolean idempotent,
        boolean open,
        long tokens,
        long timeoutMilliseconds) {
    /** Checks that no part is missing. */
    public ServiceRoute {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
    }

    /** Returns whether this route serves the method and path. */
    public boolean matches(String requestMethod, String requestPath) {
        return matchesMethod(requestMethod) && matchesPath(requestPath);
    }

    private boolean matchesMethod(String requestMethod) {
        return method.equals("*") || method.equals(requestMethod);
    }

    private boolean matchesPath(String requestPath) {
        if (path.endsWith("*")) {
            return requestPath.startsWith(path.substring(0, path.length() - 1));
        }
        return path.equals(requestPath);
    }
}
