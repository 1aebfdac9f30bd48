package org.foxtailridge.clients.service;

import java.util.Map;

/**
 * Call of a plain service.
 *
 * @param method HTTP method
 * @param target path and query at the endpoint
 * @param headers headers to pass on; never holds the caller's key
 * @param body body
 */
public record ServiceCall(String method, String target, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public ServiceCall {
        headers = Map.copyOf(headers);
    }
}
