package org.foxtailridge.placement.order;

import java.util.Objects;

/**
 * What the records before it decide about an intended order. Every reader of the log decides alike.
 *
 * @param decision whether the order may be sent, or why not
 * @param delayMilliseconds for an admitted order, the time to wait before it is sent
 */
public record Admission(Decision decision, long delayMilliseconds) {
    /** Admission without a delay. */
    public static final Admission NOW = new Admission(Decision.ADMITTED, 0);

    /** Checks that nothing is missing. */
    public Admission {
        Objects.requireNonNull(decision, "decision");
    }

    /** Returns a refusal. */
    public static Admission refused(Decision decision) {
        return new Admission(decision, 0);
    }

    /** Returns whether the order may be sent. */
    public boolean isAdmitted() {
        return decision == Decision.ADMITTED;
    }

    /** Decisions about an intended order. */
    public enum Decision {
        /** It may be sent by the holder that recorded it. */
        ADMITTED,
        /** A holder with a higher fencing number has taken the endpoint over. */
        OLD_FENCING,
        /** The log holds the record twice, or the order has ended. */
        DUPLICATE,
        /** Another order for the same artifact has not ended. */
        CONFLICT,
        /** Too many orders of the endpoint have not ended. */
        TOO_MANY,
        /** No witness holds another copy that stays. */
        LAST_COPY,
        /** The weight store has no room for the load at the moment. */
        STORE_BUSY
    }
}
