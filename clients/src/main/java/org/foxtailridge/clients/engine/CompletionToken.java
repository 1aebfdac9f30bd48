package org.foxtailridge.clients.engine;

/**
 * One token of a stream.
 *
 * @param requestId identifier of the request that the engine answers
 * @param attemptId identifier of the attempt that the engine answers
 * @param index position in the answer, from 0
 * @param text text of the token
 * @param finishReason {@code stop} or {@code length} on the last token, else null
 * @param usage tokens taken, on the last token, else null
 */
public record CompletionToken(
        String requestId,
        String attemptId,
        int index,
        String text,
        String finishReason,
        Usage usage) {
    /** Returns whether this is the last token of the answer. */
    public boolean isLast() {
        return finishReason != null;
    }
}
