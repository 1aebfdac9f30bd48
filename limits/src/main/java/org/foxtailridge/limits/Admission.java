package org.foxtailridge.limits;

import java.time.Duration;
import java.util.Objects;

/** Decision on a reservation of tokens with {@link TokenLimiter#reserve}. */
public sealed interface Admission {
    /**
     * The tokens are reserved, and the request may run.
     *
     * @param reservation reservation to settle when the request has ended
     */
    record Granted(Reservation reservation) implements Admission {
        /** Rejects null. */
        public Granted {
            Objects.requireNonNull(reservation, "reservation");
        }
    }

    /**
     * Too few tokens are available; the caller gets the error {@code RATE_EXCEEDED}.
     *
     * @param retryAfter time after which enough tokens may be available
     */
    record Refused(Duration retryAfter) implements Admission {
        /** Rejects null. */
        public Refused {
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * The request needs more tokens than the account may ever use at once; the caller gets the
     * error {@code LARGER_THAN_BURST}.
     *
     * @param maximumTokens maximum tokens that one request may reserve
     */
    record LargerThanBurst(long maximumTokens) implements Admission {}

    /**
     * The limiter has as many open or waiting reservations as it may; the caller gets the error
     * {@code OVERLOADED}.
     */
    record Overloaded() implements Admission {}

    /** The limiter knows no limit of the account; the caller gets the error {@code NOT_READY}. */
    record UnknownAccount() implements Admission {}
}
