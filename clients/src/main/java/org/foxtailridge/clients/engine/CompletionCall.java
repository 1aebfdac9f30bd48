package org.foxtailridge.clients.engine;

import java.util.List;

/**
 * Body of a completion for an engine. Exactly one of {@code prompt} and {@code messages} is set.
 *
 * @param model name of the model
 * @param version version of its weights
 * @param adapter name of the adapter, or null
 * @param prompt text to continue, or null
 * @param messages chat to continue, or null
 * @param maxTokens largest number of tokens to generate
 * @param stream whether tokens are sent as they are generated
 * @param priority 0 for the most urgent to 9 for the least
 */
public record CompletionCall(
        String model,
        String version,
        String adapter,
        String prompt,
        List<ChatMessage> messages,
        int maxTokens,
        boolean stream,
        int priority) {}
