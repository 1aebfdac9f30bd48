package org.foxtailridge.limits;

import java.time.Duration;
import java.util.Objects;

/** Answer to a call of {@link TokenLimiter#reserve}. */
public sealed interface Admission {
    /**
     * The request may run.
     *
     * @param reservation to be settled when the request has ended
     */
    record Granted(Reservation reservation) implements Admission {
        /** Checks that the reservation is given. */
        public Granted {
            Objects.requireNonNull(reservation, "reservation");
        }
    }

    /**
     * No tokens are left at the moment; answered as {@code RATE_EXCEEDED}.
     *
     * @param retryAfter time after which the tokens may be available
     */
    record Refused(Duration retryAfter) implements Admission {
        /** Checks that the time is given. */
        public Refused {
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * The request needs more tokens than may ever be used at once; answered as {@code
     * LARGER_THAN_BURST}.
     *
     * @param maximumTokens most tokens that one request may reserve
     */
    record LargerThanBurst(long maximumTokens) implements Admission {}

    /** The limiter holds as many requests as it may; answered as {@code OVERLOADED}. */
    record Overloaded() implements Admission {}

    /** The client account has no limit here; answered as {@code NOT_READY}. */
    record UnknownAccount() implements Admission {}
}
