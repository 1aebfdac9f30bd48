package org.foxtailridge.execution.stream;

import java.util.Objects;
import java.util.Optional;

/**
 * One token that an engine sent.
 *
 * @param requestId identifier of the request, as the engine says
 * @param attemptId identifier of the attempt, as the engine says
 * @param index number of the token in the attempt, from 0
 * @param text text of the token
 * @param finishReason why the answer ends with this token; empty when it goes on
 */
public record TokenEvent(
        String requestId, String attemptId, int index, String text, Optional<String> finishReason) {
    /** Checks the fields. */
    public TokenEvent {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(finishReason, "finishReason");
    }
}
