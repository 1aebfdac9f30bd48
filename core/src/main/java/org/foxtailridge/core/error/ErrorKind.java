package org.foxtailridge.core.error;

import java.util.Locale;

/**
 * Kinds of errors. Every refusal or failure that a process reports to a caller or to another
 * process has exactly one of them; {@link ErrorTable} maps each to its answer.
 */
public enum ErrorKind {
    /** The request names no key or a key that no client account has. */
    KEY_REFUSED,
    /** The key was withdrawn while the request ran. */
    KEY_WITHDRAWN,
    /** The plan of the client account does not allow the model, adapter or service. */
    NOT_ON_PLAN,
    /** The configuration lists no model or adapter of this name. */
    UNKNOWN_MODEL,
    /** The configuration lists no service or route that matches. */
    UNKNOWN_SERVICE,
    /** No resource exists at this path. */
    UNKNOWN_PATH,
    /** The resource at this path does not support the method. */
    METHOD_NOT_ALLOWED,
    /** The request could not be parsed or has a value out of range. */
    MALFORMED_REQUEST,
    /** The body is larger than the limit. */
    BODY_TOO_LARGE,
    /** The request line and headers are larger than the limit. */
    HEAD_TOO_LARGE,
    /** The client account has no tokens left in its token bucket at the moment. */
    RATE_EXCEEDED,
    /**
     * The request needs more tokens than the burst of the client account, so it can't ever start.
     */
    LARGER_THAN_BURST,
    /** The client account or the VM has too many connections open. */
    TOO_MANY_CONNECTIONS,
    /** A bounded queue or ring is full. */
    OVERLOADED,
    /** The request can't start before its deadline. */
    DEADLINE_UNREACHABLE,
    /** No live endpoint can serve the request. */
    NO_ENDPOINT,
    /** The endpoint failed before any part of the answer was sent to the caller. */
    ENDPOINT_FAILED,
    /** The answer was interrupted after a part of it had been sent to the caller. */
    STREAM_BROKEN,
    /** The endpoint did not answer in time. */
    ANSWER_TIMEOUT,
    /** The idempotency key was used before with another request. */
    IDEMPOTENCY_KEY_REUSED,
    /** The idempotency key is older than the retained window. */
    IDEMPOTENCY_KEY_EXPIRED,
    /** A former request with this idempotency key has an unknown outcome. */
    OUTCOME_UNKNOWN,
    /** A former request with this idempotency key is still running. */
    IN_PROGRESS,
    /** The request can't be claimed because the log is not available. */
    CLAIM_UNAVAILABLE,
    /** The request was in flight when several endpoints crashed. */
    QUARANTINED,
    /** The configuration is older than the maximum staleness of the plan. */
    CONFIGURATION_STALE,
    /** The VM is stopping. */
    STOPPING,
    /** The VM has no configuration yet. */
    NOT_READY,
    /** An edit of the configuration is invalid. */
    CONFIGURATION_INVALID,
    /** Another edit changed the same entry first. */
    EDIT_CONFLICT,
    /** The log service is not available. */
    LOG_UNAVAILABLE,
    /** A message or record has a newer format than this version can read. */
    INCOMPATIBLE_VERSION,
    /** An unexpected failure: a defect of the system. */
    INTERNAL;

    /** Returns the name in answers, logs and metrics, for example {@code rate_exceeded}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
