package org.foxtailridge.configuration.check;

/** Sorts of problems that a configuration can have. */
public enum ProblemKind {
    /** A name holds characters that are not allowed. */
    BAD_NAME,
    /** An entry names another entry that is not listed. */
    NOT_LISTED,
    /** A number is outside of its range. */
    OUT_OF_RANGE,
    /** Two entries hold what only one may hold. */
    DUPLICATE,
    /** An address is not an HTTP address. */
    BAD_ADDRESS,
    /** The salt or the hash of a key is not of the right shape. */
    BAD_KEY,
    /** No listed endpoint can hold a model or run a service. */
    NO_POOL,
    /** The endpoints' memory can't hold one copy of every model. */
    MEMORY_SHORT
}
