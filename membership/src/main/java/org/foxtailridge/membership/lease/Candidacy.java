package org.foxtailridge.membership.lease;

import java.util.Objects;

/**
 * Candidacy of a node for the lease of a duty.
 *
 * @param duty name of the duty
 * @param rank rank of the node among the candidates, at least 0; rank 0 acquires a free lease
 *     first, each further rank waits {@link LeaseSettings#takeoverDelay} longer
 */
public record Candidacy(String duty, int rank) {
    /** Rejects a negative rank. */
    public Candidacy {
        Objects.requireNonNull(duty, "duty");
        if (rank < 0) {
            throw new IllegalArgumentException("rank must not be negative but was " + rank);
        }
    }
}
