package org.foxtailridge.forwarding.front;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Computes the retry-after time of a refusal: when capacity is likely to be available again, with
 * random jitter so that refused callers do not return at the same moment.
 */
final class RetryAfterRule {
    // A slot or tokens usually become available again within a fraction of a second.
    static final long SHORT_MILLISECONDS = 300;
    // Loading a model takes 1 to 2 s from an engine's disk and a few seconds more from the weight
    // store.
    private static final long MODEL_LOAD_MILLISECONDS = 2_500;
    // Maximum jitter, as a share of the time that it is added to.
    private static final double JITTER = 0.5;
    // Minimum retry time, as a share of the maximum wait, if the answer is late in any case.
    private static final double MINIMUM_LATE_SHARE = 0.5;
    // Callers wait at most a third of the time left until their deadline.
    private static final int WAIT_DIVISOR = 3;

    private final RandomGenerator mRandom;

    RetryAfterRule(RandomGenerator random) {
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns the time after which the caller should retry, in milliseconds; at least 1.
     *
     * @param resolved the request
     * @param kind error kind of the refusal
     * @param hint retry time known to the component that refused it, in milliseconds; 0 if none
     * @param now current instant, in milliseconds since the epoch
     */
    long milliseconds(ResolvedRequest resolved, ErrorKind kind, long hint, long now) {
        long maximumWait = (resolved.deadlineMilliseconds() - now) / WAIT_DIVISOR;
        boolean requestsModel = resolved.metadata().model().isPresent();
        if (requestsModel && kind == ErrorKind.DEADLINE_UNREACHABLE) {
            return Math.max(1, afterCongestion(maximumWait));
        }
        boolean isModelMissing = kind == ErrorKind.NO_ENDPOINT && requestsModel;
        long unknown = isModelMissing ? MODEL_LOAD_MILLISECONDS : SHORT_MILLISECONDS;
        long base = hint > 0 ? hint : unknown;
        return Math.max(1, Math.min(withJitter(base), maximumWait));
    }

    /**
     * Returns the retry time for engines that stay overloaded for longer than the first event may
     * take. The answer is late in any case, so a late retry has the better chance: other callers
     * have left and further copies of the model are loaded by then.
     */
    private long afterCongestion(long maximumWait) {
        double share = MINIMUM_LATE_SHARE + (1 - MINIMUM_LATE_SHARE) * mRandom.nextDouble();
        return Math.round(maximumWait * share);
    }

    private long withJitter(long base) {
        return Math.round(base * (1 + JITTER * mRandom.nextDouble()));
    }
}
