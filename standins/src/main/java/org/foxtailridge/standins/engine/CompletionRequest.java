package org.foxtailridge.standins.engine;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A request for a completion.
 *
 * @param model name of the model
 * @param version version of the model; null for the resident one
 * @param adapter name of the adapter, or null
 * @param prompt the prompt; null when messages are given
 * @param messages the chat so far; null when a prompt is given
 * @param maxTokens largest number of tokens to generate; null for the default
 * @param stream whether the answer is streamed
 * @param priority 0 for the most urgent to 9 for the least
 */
public record CompletionRequest(
        String model,
        String version,
        String adapter,
        String prompt,
        List<ChatMessage> messages,
        Integer maxTokens,
        boolean stream,
        int priority) {
    static final int DEFAULT_MAXIMUM_TOKENS = 64;
    private static final int LARGEST_MAXIMUM_TOKENS = 1_000_000;
    private static final int LEAST_PRIORITY = 9;

    /** Returns the prompt, or each message of the chat as a line {@code ROLE: CONTENT}. */
    public String promptText() {
        return prompt != null ? prompt : textOf(messages);
    }

    /** Returns each message of a chat as a line {@code ROLE: CONTENT}. */
    public static String textOf(List<ChatMessage> messages) {
        return messages.stream()
                .map(message -> message.role() + ": " + message.content() + "\n")
                .collect(Collectors.joining());
    }

    int tokenLimit() {
        return maxTokens == null ? DEFAULT_MAXIMUM_TOKENS : maxTokens;
    }

    boolean isValid() {
        boolean hasText = prompt != null || (messages != null && !messages.isEmpty());
        boolean limitInRange = tokenLimit() > 0 && tokenLimit() <= LARGEST_MAXIMUM_TOKENS;
        boolean priorityInRange = priority >= 0 && priority <= LEAST_PRIORITY;
        return model != null && hasText && limitInRange && priorityInRange;
    }
}
