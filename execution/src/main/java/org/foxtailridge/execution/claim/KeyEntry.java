package org.foxtailridge.execution.claim;

/**
 * What the log says of one idempotency key.
 *
 * @param claim identifier of the claim that stands
 * @param fingerprint digest of its request
 * @param state what became of it
 * @param answer answer, when there is one; its body is null when it was too large to keep
 * @param timeMilliseconds log time of the claim
 * @param readAtMilliseconds instant by the node's clock at which the claim was read
 */
record KeyEntry(
        String claim,
        String fingerprint,
        State state,
        ClaimRecord answer,
        long timeMilliseconds,
        long readAtMilliseconds) {
    static KeyEntry claimed(ClaimRecord record, LogRecord position, long nowMilliseconds) {
        return new KeyEntry(
                record.id(),
                record.fingerprint(),
                State.CLAIMED,
                null,
                position.timeMilliseconds(),
                nowMilliseconds);
    }

    KeyEntry ended(State state, ClaimRecord answer) {
        return new KeyEntry(
                claim, fingerprint, state, answer, timeMilliseconds, readAtMilliseconds);
    }

    /** State of a key. */
    enum State {
        /** A claim stands and has no outcome yet. */
        CLAIMED,
        /** The claim was released; the next one wins. */
        RELEASED,
        /** The call was answered. */
        ANSWERED,
        /** The call may have run. */
        UNKNOWN,
        /** The claim is older than the window; its answer is no longer kept. */
        EXPIRED
    }
}
