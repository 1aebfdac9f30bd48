package org.foxtailridge.standins.engine;

/**
 * Who asked.
 *
 * @param requestId value of {@code X-Request-Id}
 * @param attemptId value of {@code X-Attempt-Id}
 * @param credentialsSeen whether a header with credentials or a value shaped like a key came
 */
record AttemptIds(String requestId, String attemptId, boolean credentialsSeen) {}
