package org.foxtailridge.core.error;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Table that maps each error kind to the answer to the caller.
 *
 * <pre>{@code
 * ErrorAnswer answer = ErrorTable.answerTo(ErrorKind.RATE_EXCEEDED);
 * answer.status(); // 429
 * }</pre>
 */
public final class ErrorTable {
    private static final int SHORT_RETRY_SECONDS = 1;
    private static final int OUTAGE_RETRY_SECONDS = 5;
    private static final Map<ErrorKind, ErrorAnswer> ANSWERS = answers();

    private ErrorTable() {}

    /** Returns the answer for an error kind; every kind has one. */
    public static ErrorAnswer answerTo(ErrorKind kind) {
        return ANSWERS.get(Objects.requireNonNull(kind, "kind"));
    }

    private static Map<ErrorKind, ErrorAnswer> answers() {
        Map<ErrorKind, ErrorAnswer> answers = new EnumMap<>(ErrorKind.class);
        addRefusals(answers);
        addCapacityRefusals(answers);
        addExecutionFailures(answers);
        addOperatorFailures(answers);
        return Map.copyOf(answers);
    }

    private static void addRefusals(Map<ErrorKind, ErrorAnswer> answers) {
        answers.put(ErrorKind.KEY_REFUSED, refusal(401, LogLevel.INFO));
        answers.put(ErrorKind.NOT_ON_PLAN, refusal(403, LogLevel.INFO));
        answers.put(ErrorKind.UNKNOWN_MODEL, refusal(404, LogLevel.INFO));
        answers.put(ErrorKind.UNKNOWN_SERVICE, refusal(404, LogLevel.INFO));
        answers.put(ErrorKind.UNKNOWN_PATH, refusal(404, LogLevel.DEBUG));
        answers.put(ErrorKind.METHOD_NOT_ALLOWED, refusal(405, LogLevel.DEBUG));
        answers.put(ErrorKind.MALFORMED_REQUEST, refusal(400, LogLevel.DEBUG));
        answers.put(ErrorKind.BODY_TOO_LARGE, refusal(413, LogLevel.DEBUG));
        answers.put(ErrorKind.HEAD_TOO_LARGE, refusal(431, LogLevel.DEBUG));
        answers.put(ErrorKind.LARGER_THAN_BURST, refusal(422, LogLevel.INFO));
        answers.put(ErrorKind.IDEMPOTENCY_KEY_REUSED, refusal(422, LogLevel.INFO));
        answers.put(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, refusal(409, LogLevel.INFO));
        answers.put(ErrorKind.QUARANTINED, refusal(422, LogLevel.WARN));
    }

    private static void addCapacityRefusals(Map<ErrorKind, ErrorAnswer> answers) {
        answers.put(
                ErrorKind.RATE_EXCEEDED, retryableRefusal(429, SHORT_RETRY_SECONDS, LogLevel.INFO));
        answers.put(
                ErrorKind.TOO_MANY_CONNECTIONS,
                retryableRefusal(429, SHORT_RETRY_SECONDS, LogLevel.INFO));
        answers.put(
                ErrorKind.OVERLOADED, retryableRefusal(503, SHORT_RETRY_SECONDS, LogLevel.WARN));
        answers.put(
                ErrorKind.DEADLINE_UNREACHABLE,
                retryableRefusal(503, SHORT_RETRY_SECONDS, LogLevel.WARN));
        answers.put(
                ErrorKind.NO_ENDPOINT, retryableRefusal(503, SHORT_RETRY_SECONDS, LogLevel.WARN));
        answers.put(
                ErrorKind.CLAIM_UNAVAILABLE,
                retryableRefusal(503, OUTAGE_RETRY_SECONDS, LogLevel.WARN));
        answers.put(
                ErrorKind.CONFIGURATION_STALE,
                retryableRefusal(503, OUTAGE_RETRY_SECONDS, LogLevel.WARN));
        answers.put(ErrorKind.STOPPING, retryableRefusal(503, SHORT_RETRY_SECONDS, LogLevel.INFO));
        answers.put(ErrorKind.NOT_READY, retryableRefusal(503, SHORT_RETRY_SECONDS, LogLevel.INFO));
    }

    private static void addExecutionFailures(Map<ErrorKind, ErrorAnswer> answers) {
        answers.put(ErrorKind.KEY_WITHDRAWN, failure(401, ExecutionStarted.YES, LogLevel.INFO));
        answers.put(
                ErrorKind.ENDPOINT_FAILED, failure(502, ExecutionStarted.UNKNOWN, LogLevel.WARN));
        answers.put(ErrorKind.STREAM_BROKEN, failure(502, ExecutionStarted.YES, LogLevel.WARN));
        answers.put(
                ErrorKind.ANSWER_TIMEOUT, failure(504, ExecutionStarted.UNKNOWN, LogLevel.WARN));
        answers.put(
                ErrorKind.OUTCOME_UNKNOWN, failure(409, ExecutionStarted.UNKNOWN, LogLevel.WARN));
        answers.put(ErrorKind.IN_PROGRESS, failure(409, ExecutionStarted.UNKNOWN, LogLevel.INFO));
        answers.put(ErrorKind.INTERNAL, failure(500, ExecutionStarted.UNKNOWN, LogLevel.ERROR));
    }

    private static void addOperatorFailures(Map<ErrorKind, ErrorAnswer> answers) {
        answers.put(ErrorKind.CONFIGURATION_INVALID, refusal(400, LogLevel.WARN));
        answers.put(ErrorKind.EDIT_CONFLICT, refusal(409, LogLevel.INFO));
        answers.put(
                ErrorKind.LOG_UNAVAILABLE,
                retryableRefusal(503, OUTAGE_RETRY_SECONDS, LogLevel.WARN));
        answers.put(ErrorKind.INCOMPATIBLE_VERSION, refusal(400, LogLevel.ERROR));
    }

    private static ErrorAnswer refusal(int status, LogLevel level) {
        return new ErrorAnswer(status, ExecutionStarted.NO, OptionalInt.empty(), level);
    }

    private static ErrorAnswer retryableRefusal(int status, int retryAfterSeconds, LogLevel level) {
        return new ErrorAnswer(
                status, ExecutionStarted.NO, OptionalInt.of(retryAfterSeconds), level);
    }

    private static ErrorAnswer failure(
            int status, ExecutionStarted executionStarted, LogLevel level) {
        return new ErrorAnswer(status, executionStarted, OptionalInt.empty(), level);
    }
}
