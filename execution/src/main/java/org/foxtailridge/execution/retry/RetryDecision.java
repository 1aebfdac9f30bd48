package org.foxtailridge.execution.retry;

import java.time.Duration;
import org.foxtailridge.core.error.ErrorKind;

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
    /**
     * Try again on another endpoint.
     *
     * @param delay time to wait before
     */
    record Retry(Duration delay) implements RetryDecision {}

    /**
     * Answer with a failure.
     *
     * @param kind kind of the failure; says "not run" only when no attempt can have begun
     */
    record GiveUp(ErrorKind kind) implements RetryDecision {}
}
