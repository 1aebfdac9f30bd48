package org.foxtailridge.execution.retry;

/** Whether an attempt may be followed by another at all. */
interface RetryRule {
    /** Allows it for idempotent requests and those that provably have not begun. */
    RetryRule SAFE = failed -> !failed.mayHaveBegun() || failed.idempotent();

    /** Returns whether another attempt can do no harm. */
    boolean allows(FailedAttempt failed);
}
