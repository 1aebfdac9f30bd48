package org.foxtailridge.configuration.follow;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * How well a node follows the configuration.
 *
 * @param phase phase
 * @param offset offset of the last record in force on this node; -1 for none
 * @param staleness time since this node last knew that it had all records; empty when it never did
 * @param ready whether the state may be served with
 * @param reason what stands in the way, for operators; empty when nothing does
 */
public record FollowerStatus(
        FollowerPhase phase,
        long offset,
        Optional<Duration> staleness,
        boolean ready,
        String reason) {
    /** Checks that no part is missing. */
    public FollowerStatus {
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(staleness, "staleness");
        Objects.requireNonNull(reason, "reason");
    }
}
