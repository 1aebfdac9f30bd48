package org.foxtailridge.endtoend.harness;

/**
 * Body of a completion.
 *
 * @param model name of the model
 * @param prompt text to continue
 * @param maxTokens largest number of tokens
 * @param stream whether tokens are sent as they are generated
 */
public record CompletionBody(String model, String prompt, int maxTokens, boolean stream) {
    /** Returns a body that asks for a whole answer. */
    public static CompletionBody whole(String prompt, int maxTokens) {
        return new CompletionBody(Fleet.MODEL, prompt, maxTokens, false);
    }

    /** Returns a body that asks for a stream. */
    public static CompletionBody streamed(String prompt, int maxTokens) {
        return new CompletionBody(Fleet.MODEL, prompt, maxTokens, true);
    }
}
