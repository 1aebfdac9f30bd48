package org.foxtailridge.clients.engine;

/**
 * Answer of an engine to an order.
 *
 * @param status HTTP status
 * @param orderId identifier of the order
 * @param state {@code unknown}, {@code running}, {@code done} or {@code failed}
 * @param reason why it was refused or failed, or null
 * @param highest highest fencing number seen, when the order's was lower
 */
public record OrderAnswer(int status, String orderId, String state, String reason, long highest) {}
