package org.foxtailridge.standins.service;

/**
 * One call that the service has executed.
 *
 * @param requestId value of {@code X-Request-Id}, or null
 * @param attemptId value of {@code X-Attempt-Id}, or null
 * @param state always {@code finished}
 * @param tokens always 0
 * @param authorizationSeen whether a header with credentials or a value shaped like a key came
 * @param idempotencyKey value of {@code Idempotency-Key}, or null
 * @param method method of the call
 * @param path path of the call
 * @param bodyHash hash of the body, in hexadecimal
 */
public record ServiceExecution(
        String requestId,
        String attemptId,
        String state,
        long tokens,
        boolean authorizationSeen,
        String idempotencyKey,
        String method,
        String path,
        String bodyHash) {}
