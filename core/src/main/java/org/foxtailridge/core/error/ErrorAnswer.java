package org.foxtailridge.core.error;

import java.util.OptionalInt;

/**
 * What a caller is told about an error of one kind.
 *
 * @param status HTTP status code
 * @param executionStarted whether an endpoint began to execute the request
 * @param retryAfterSeconds value of {@code Retry-After} in seconds when the failure gives none,
 *     empty when the header is left out
 * @param level level at which the failure is logged
 */
public record ErrorAnswer(
        int status,
        ExecutionStarted executionStarted,
        OptionalInt retryAfterSeconds,
        LogLevel level) {}
