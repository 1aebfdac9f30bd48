package org.foxtailridge.clients.service;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param contentType value of {@code Content-Type}, or null
 * @param body body
 * @param notStarted whether the service said that it has not begun
 */
public record ServiceAnswer(int status, String contentType, byte[] body, boolean notStarted) {}
