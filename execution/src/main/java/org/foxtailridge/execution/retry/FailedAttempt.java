package org.foxtailridge.execution.retry;

import java.time.Instant;
import java.util.Objects;
import org.foxtailridge.core.error.ErrorKind;

/**
 * An attempt that failed.
 *
 * @param clientAccount name of the client account
 * @param endpoint name of the endpoint
 * @param idempotent whether the request may be executed more than once
 * @param progress how far the attempt can have come
 * @param earlierMayHaveBegun whether an earlier attempt of the request may have begun
 * @param tries attempts so far, with this one
 * @param deadline instant by which a next attempt has to begin
 * @param failure kind of this failure
 */
public record FailedAttempt(
        String clientAccount,
        String endpoint,
        boolean idempotent,
        AttemptProgress progress,
        boolean earlierMayHaveBegun,
        int tries,
        Instant deadline,
        ErrorKind failure) {
    /** Checks the fields. */
    public FailedAttempt {
        Objects.requireNonNull(clientAccount, "clientAccount");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(progress, "progress");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(failure, "failure");
        if (tries < 1) {
            throw new IllegalArgumentException("tries must be at least 1 but was " + tries);
        }
    }

    boolean mayHaveBegun() {
        return earlierMayHaveBegun || progress != AttemptProgress.NOT_BEGUN;
    }
}
