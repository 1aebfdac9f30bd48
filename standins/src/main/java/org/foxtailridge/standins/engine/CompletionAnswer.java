package org.foxtailridge.standins.engine;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One token of a stream, or a whole answer.
 *
 * @param requestId request that it belongs to
 * @param attemptId attempt that it belongs to
 * @param index index of the token; of the last one for a whole answer
 * @param text text of the token or of the whole answer
 * @param finishReason {@code stop} or {@code length} with the last token, else null
 * @param usage counts, with the last token only
 */
public record CompletionAnswer(
        String requestId,
        String attemptId,
        int index,
        String text,
        String finishReason,
        @JsonInclude(JsonInclude.Include.NON_NULL) Usage usage) {
    /**
     * Counts of one answer.
     *
     * @param promptTokens tokens of the prompt
     * @param completionTokens tokens generated
     */
    public record Usage(int promptTokens, int completionTokens) {}
}
