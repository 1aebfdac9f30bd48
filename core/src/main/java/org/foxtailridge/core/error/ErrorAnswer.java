package org.foxtailridge.core.error;

import java.util.OptionalInt;

/**
 * Answer to the caller for an error of one {@link ErrorKind}.
 *
 * @param status HTTP status code
 * @param executionStarted whether an endpoint started to execute the request
 * @param retryAfterSeconds value of the header {@code Retry-After} in seconds; empty when the
 *     answer has no such header
 * @param level level at which the failure is logged
 */
public record ErrorAnswer(
        int status,
        ExecutionStarted executionStarted,
        OptionalInt retryAfterSeconds,
        LogLevel level) {}
