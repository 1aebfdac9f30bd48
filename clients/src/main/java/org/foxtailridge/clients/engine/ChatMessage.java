package org.foxtailridge.clients.engine;

/**
 * One message of a chat.
 *
 * @param role who speaks
 * @param content what is said
 */
public record ChatMessage(String role, String content) {}
