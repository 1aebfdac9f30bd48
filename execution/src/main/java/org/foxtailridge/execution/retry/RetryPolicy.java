package org.foxtailridge.execution.retry;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.error.ErrorKind;

/**
 * Decides whether a failed attempt is tried again.
 *
 * <p>Only idempotent requests and those that provably have not begun are. A retry of a request that
 * may have begun takes credit of its client account and of the endpoint that failed; credit grows
 * by a tenth for each first try. A request that has not begun anywhere is sent elsewhere without
 * credit, as it cost no endpoint work; the number of its tries is bounded. Confined to one thread.
 *
 * <pre>{@code
 * RetryPolicy retries = RetryPolicy.create(clock, RetrySettings.builder().build(), seed);
 * retries.firstTry("auctions", "stone-scribe-1");
 * RetryDecision decision = retries.decide(failedAttempt);
 * if (decision instanceof RetryDecision.Retry retry) {
 *     timer.after(retry.delay(), () -> duty.offer(() -> scheduler.submit(again)));
 * } else if (decision instanceof RetryDecision.GiveUp giveUp) {
 *     caller.fail(giveUp.kind());
 * }
 * }</pre>
 */
public final class RetryPolicy {
    private static final int LARGEST_SHIFT = 10;

    private final Clock mClock;
    private final RetrySettings mSettings;
    private final RetryRule mRule;
    private final UniformRandomProvider mRandom;
    private final RetryBudgets mAccounts;
    private final RetryBudgets mEndpoints;

    RetryPolicy(Clock clock, RetrySettings settings, long seed, RetryRule rule) {
        mClock = Objects.requireNonNull(clock, "clock");
        mSettings = Objects.requireNonNull(settings, "settings");
        mRule = rule;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mAccounts = new RetryBudgets(settings);
        mEndpoints = new RetryBudgets(settings);
    }

    /** Returns a policy. */
    public static RetryPolicy create(Clock clock, RetrySettings settings, long seed) {
        return new RetryPolicy(clock, settings, seed, RetryRule.SAFE);
    }

    /** Notes the first attempt of a request, when it is sent. */
    public void firstTry(String clientAccount, String endpoint) {
        mAccounts.firstTry(clientAccount);
        mEndpoints.firstTry(endpoint);
    }

    /** Decides on a failed attempt; a decision to retry takes the credit. */
    public RetryDecision decide(FailedAttempt failed) {
        if (!mRule.allows(failed) || failed.progress() == AttemptProgress.ANSWERED_IN_PART) {
            return giveUp(failed);
        }
        Duration delay = delay(failed);
        Instant next = mClock.instant().plus(delay);
        if (failed.tries() >= mSettings.maximumTries() || !next.isBefore(failed.deadline())) {
            return giveUp(failed);
        }
        if (failed.mayHaveBegun() && !spend(failed)) {
            return giveUp(failed);
        }
        return new RetryDecision.Retry(delay);
    }

    private boolean spend(FailedAttempt failed) {
        boolean allowed =
                mAccounts.allows(failed.clientAccount()) && mEndpoints.allows(failed.endpoint());
        if (allowed) {
            mAccounts.spend(failed.clientAccount());
            mEndpoints.spend(failed.endpoint());
        }
        return allowed;
    }

    private Duration delay(FailedAttempt failed) {
        if (failed.tries() == 1 && failed.progress() == AttemptProgress.NOT_BEGUN) {
            return Duration.ZERO;
        }
        int shift = Math.min(failed.tries() - 1, LARGEST_SHIFT);
        long largest =
                Math.min(mSettings.maximumMilliseconds(), mSettings.baseMilliseconds() << shift);
        return Duration.ofMillis(mRandom.nextLong(largest + 1));
    }

    private static RetryDecision giveUp(FailedAttempt failed) {
        if (failed.progress() == AttemptProgress.ANSWERED_IN_PART) {
            return new RetryDecision.GiveUp(ErrorKind.STREAM_BROKEN);
        }
        if (!failed.mayHaveBegun()) {
            return new RetryDecision.GiveUp(ErrorKind.NO_ENDPOINT);
        }
        boolean timeout = failed.failure() == ErrorKind.ANSWER_TIMEOUT;
        return new RetryDecision.GiveUp(
                timeout ? ErrorKind.ANSWER_TIMEOUT : ErrorKind.ENDPOINT_FAILED);
    }
}
