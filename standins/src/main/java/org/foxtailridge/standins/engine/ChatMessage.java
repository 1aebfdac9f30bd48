package org.foxtailridge.standins.engine;

/**
 * One message of a chat.
 *
 * @param role who says it
 * @param content what is said
 */
public record ChatMessage(String role, String content) {}
