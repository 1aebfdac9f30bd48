package org.foxtailridge.standins.service;

/**
 * Answer of the service.
 *
 * @param requestId request that it belongs to
 * @param attemptId attempt that it belongs to
 * @param result what was looked up, the same for the same call; null for bookings
 * @param confirmation number of the booking, growing by one; null for lookups
 */
public record ServiceAnswer(String requestId, String attemptId, String result, Long confirmation) {}
