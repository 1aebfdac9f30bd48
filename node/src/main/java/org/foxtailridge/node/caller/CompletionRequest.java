package org.foxtailridge.node.caller;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.clients.engine.ChatMessage;
import org.foxtailridge.configuration.model.WorkClass;

/**
 * A completion that a caller asks for.
 *
 * @param shape shape of the answer
 * @param model name of the model, with the adapter after a colon if any
 * @param prompt text to continue, or null
 * @param messages chat to continue, or null
 * @param maximumTokens largest number of tokens to generate
 * @param stream whether tokens are sent as they are generated
 * @param workClass class of work
 * @param due instant by which the answer is due
 */
record CompletionRequest(
        CompletionShape shape,
        String model,
        String prompt,
        List<ChatMessage> messages,
        int maximumTokens,
        boolean stream,
        WorkClass workClass,
        Optional<Instant> due) {
    private static final int CHARACTERS_FOR_EACH_TOKEN = 4;

    /** Returns the whole text that goes to the model. */
    String text() {
        if (prompt != null) {
            return prompt;
        }
        StringBuilder text = new StringBuilder();
        messages.forEach(
                message ->
                        text.append(message.role())
                                .append(": ")
                                .append(message.content())
                                .append('\n'));
        return text.toString();
    }

    /** Returns the estimated length of the prompt, in tokens. */
    int promptTokens() {
        return text().length() / CHARACTERS_FOR_EACH_TOKEN + 1;
    }

    /** Returns the most tokens that the request may take, prompt included. */
    long totalTokens() {
        return (long) promptTokens() + maximumTokens;
    }

    /**
     * Returns whether the rest of a broken answer may come from another engine: work that no caller
     * waits for, and answers of which the caller has seen nothing.
     */
    boolean mayRepeatElsewhere() {
        return workClass != WorkClass.INTERACTIVE || !stream;
    }
}
