package org.foxtailridge.clients.engine;

/**
 * Tokens that a completion took.
 *
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 */
public record Usage(int promptTokens, int completionTokens) {}
