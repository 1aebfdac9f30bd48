package org.foxtailridge.membership.lease;

import java.util.Objects;

/**
 * A duty that a node stands ready to do.
 *
 * @param duty name of the duty
 * @param rank place of the node among those that stand ready; 0 is the first to acquire
 */
public record Candidacy(String duty, int rank) {
    /** Checks the parts. */
    public Candidacy {
        Objects.requireNonNull(duty, "duty");
        if (rank < 0) {
            throw new IllegalArgumentException("rank must not be negative but was " + rank);
        }
    }
}
