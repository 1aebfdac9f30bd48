package org.foxtailridge.configuration.follow;

import java.util.Locale;

/** How well a node follows the configuration. */
public enum FollowerPhase {
    /** It has no state that it may serve with. */
    STARTING,
    /** It has a state and follows the log or its peers. */
    FOLLOWING,
    /**
     * The log no longer holds the records after its state, and neither a snapshot nor a peer has
     * them. It serves with the state that it has.
     */
    GAP,
    /** The log's offsets are below those already folded. It serves with the state that it has. */
    LOG_BEHIND,
    /** It met a record of a newer format. It serves with the state before that record. */
    STOPPED;

    /** Returns the word used in status pages, for example {@code log_behind}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
