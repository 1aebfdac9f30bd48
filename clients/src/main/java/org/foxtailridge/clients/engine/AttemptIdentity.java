package org.foxtailridge.clients.engine;

import java.util.Objects;

/**
 * Identifiers by which an answer is matched to what asked for it.
 *
 * @param requestId identifier of the caller's request
 * @param attemptId identifier of this try of it, unique over all nodes
 */
public record AttemptIdentity(String requestId, String attemptId) {
    /** Checks the identifiers. */
    public AttemptIdentity {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(attemptId, "attemptId");
    }

    /** Returns whether a token answers this attempt. */
    public boolean matches(CompletionToken token) {
        return requestId.equals(token.requestId()) && attemptId.equals(token.attemptId());
    }
}
