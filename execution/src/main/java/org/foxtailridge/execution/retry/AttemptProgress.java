package org.foxtailridge.execution.retry;

/** How far a failed attempt can have come. */
public enum AttemptProgress {
    /** Nothing was sent, or the endpoint said that it has not begun and won't. */
    NOT_BEGUN,
    /** Bytes may have reached the endpoint; no part of an answer came back. */
    MAY_HAVE_BEGUN,
    /** A part of the answer reached the caller. */
    ANSWERED_IN_PART
}
