package org.foxtailridge.forwarding.front;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * When a caller that was refused is to come back: when there is likely to be room, and not all
 * callers at the same moment.
 */
final class RetryAfterRule {
    // A place is free again, or tokens are there again, within a fraction of a second mostly.
    static final long SHORT_MILLISECONDS = 300;
    // A model that no engine holds is loaded from a disk within a second or two, and from the
    // weight store within a few more.
    private static final long MODEL_MILLISECONDS = 2_500;
    private static final double SPREAD = 0.5;
    // Part of its patience that a caller is asked for at least once its answer is late anyway.
    private static final double LATE_SHARE = 0.5;
    // Callers wait for a third of the time that they have left at most.
    private static final int PATIENCE_DIVISOR = 3;

    private final RandomGenerator mRandom;

    RetryAfterRule(RandomGenerator random) {
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns the time after which to come back, in milliseconds.
     *
     * @param terms terms of the request
     * @param kind why it was refused
     * @param hint time that whoever refused it knows of, in milliseconds; 0 for none
     * @param now instant, in milliseconds since the epoch
     */
    long milliseconds(ResolvedRequest terms, ErrorKind kind, long hint, long now) {
        long patience = (terms.deadlineMilliseconds() - now) / PATIENCE_DIVISOR;
        boolean forModel = terms.metadata().model().isPresent();
        if (forModel && kind == ErrorKind.DEADLINE_UNREACHABLE) {
            return Math.max(1, afterCrowd(patience));
        }
        boolean modelMissing = kind == ErrorKind.NO_ENDPOINT && forModel;
        long known = hint > 0 ? hint : SHORT_MILLISECONDS;
        long base = modelMissing ? MODEL_MILLISECONDS : known;
        return Math.max(1, Math.min(spread(base), patience));
    }

    /**
     * Returns when to come back to engines that are crowded for longer than a first event may take:
     * the answer is late anyway, so that the caller gains by coming when others have left and
     * further copies of its model are loaded.
     */
    private long afterCrowd(long patience) {
        double share = LATE_SHARE + (1 - LATE_SHARE) * mRandom.nextDouble();
        return Math.round(patience * share);
    }

    private long spread(long base) {
        return Math.round(base * (1 + SPREAD * mRandom.nextDouble()));
    }
}
