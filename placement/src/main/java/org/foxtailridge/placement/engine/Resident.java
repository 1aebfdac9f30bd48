package org.foxtailridge.placement.engine;

import java.util.Objects;

/**
 * An artifact in an engine's memory.
 *
 * @param artifact what is held
 * @param bytes memory of the weights
 * @param state whether it is coming, serving or going
 */
public record Resident(Artifact artifact, long bytes, ResidentState state) {
    /** Checks that nothing is missing and that the size is not negative. */
    public Resident {
        Objects.requireNonNull(artifact, "artifact");
        Objects.requireNonNull(state, "state");
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must not be negative but was " + bytes);
        }
    }
}
