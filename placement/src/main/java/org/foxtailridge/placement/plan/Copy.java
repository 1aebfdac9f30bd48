package org.foxtailridge.placement.plan;

import java.util.Objects;
import org.foxtailridge.placement.engine.Artifact;

/**
 * A model's copy on an endpoint.
 *
 * @param artifact model and version
 * @param bytes memory charged for it
 * @param state whether it is coming, serving or going
 */
public record Copy(Artifact artifact, long bytes, CopyState state) {
    /** Checks that nothing is missing. */
    public Copy {
        Objects.requireNonNull(artifact, "artifact");
        Objects.requireNonNull(state, "state");
    }

    /** Returns whether the copy serves and stays. */
    public boolean isServing() {
        return state == CopyState.SERVING;
    }

    /** Returns whether the copy is on its way out. */
    public boolean isGoing() {
        return state == CopyState.GOING;
    }
}
