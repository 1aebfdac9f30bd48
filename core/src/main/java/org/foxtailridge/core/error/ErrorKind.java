package org.foxtailridge.core.error;

import java.util.Locale;

/**
 * The closed list of error kinds.
 *
 * <p>Every refusal or failure that leaves a process has exactly one of these kinds. {@link
 * ErrorTable} gives the answer for each.
 */
public enum ErrorKind {
    /** The request names no key or a key that no client account has. */
    KEY_REFUSED,
    /** The key was withdrawn while the request ran. */
    KEY_WITHDRAWN,
    /** The plan of the client account does not allow the model, adapter or service. */
    NOT_ON_PLAN,
    /** No listed model or adapter has this name. */
    UNKNOWN_MODEL,
    /** No listed service or route matches. */
    UNKNOWN_SERVICE,
    /** No resource exists at this path. */
    UNKNOWN_PATH,
    /** The path exists, but not for this method. */
    METHOD_NOT_ALLOWED,
    /** The request could not be parsed or holds a value out of range. */
    MALFORMED_REQUEST,
    /** The body is larger than the limit. */
    BODY_TOO_LARGE,
    /** The head is larger than the limit. */
    HEAD_TOO_LARGE,
    /** The client account has no tokens left at the moment. */
    RATE_EXCEEDED,
    /** The request needs more tokens than the burst of the client account. */
    LARGER_THAN_BURST,
    /** The client account or the VM has too many connections open. */
    TOO_MANY_CONNECTIONS,
    /** A bounded queue or ring is full. */
    OVERLOADED,
    /** The request can't start before its deadline. */
    DEADLINE_UNREACHABLE,
    /** No live endpoint can serve the request. */
    NO_ENDPOINT,
    /** The endpoint failed before any part of the answer reached the caller. */
    ENDPOINT_FAILED,
    /** The answer broke off after a part of it had reached the caller. */
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
    /** The request can't be claimed, as the log does not answer. */
    CLAIM_UNAVAILABLE,
    /** The request was in flight when several endpoints died. */
    QUARANTINED,
    /** The configuration is older than the plan allows. */
    CONFIGURATION_STALE,
    /** The VM is stopping. */
    STOPPING,
    /** The VM has no configuration yet. */
    NOT_READY,
    /** An edit of the configuration is invalid. */
    CONFIGURATION_INVALID,
    /** Another edit of the same entry came first. */
    EDIT_CONFLICT,
    /** The log service does not answer. */
    LOG_UNAVAILABLE,
    /** A message or record can't be read by this version. */
    INCOMPATIBLE_VERSION,
    /** A defect. */
    INTERNAL;

    /** Returns the word used in answers, for example {@code rate_exceeded}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
