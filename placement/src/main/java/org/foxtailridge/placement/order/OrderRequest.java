package org.foxtailridge.placement.order;

import java.util.List;
import java.util.Objects;
import org.foxtailridge.placement.engine.Artifact;

/**
 * What the planner wants of an endpoint.
 *
 * @param endpoint name of the endpoint
 * @param action what to do
 * @param artifact what to load or unload
 * @param bytes memory of the weights
 * @param workingBytes memory kept free beside the weights
 * @param witnesses for an unload of a listed model, the endpoints whose copies stay
 */
public record OrderRequest(
        String endpoint,
        OrderAction action,
        Artifact artifact,
        long bytes,
        long workingBytes,
        List<String> witnesses) {
    /** Copies the list. */
    public OrderRequest {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(artifact, "artifact");
        witnesses = List.copyOf(witnesses);
    }

    /** Answers to a request. */
    public enum Answer {
        /** A record of the order was handed to the log. */
        ACCEPTED,
        /** This node does not hold the duty, or has not read its takeover back yet. */
        NOT_HELD,
        /** The ledger has no room. */
        NO_MEMORY,
        /** Another order for the artifact has not ended. */
        CONFLICT,
        /** Too many orders have not ended. */
        TOO_MANY,
        /** The unload would take a listed model's last copy. */
        LAST_COPY
    }
}
