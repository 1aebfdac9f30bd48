package org.foxtailridge.placement.order;

import java.util.Objects;
import org.foxtailridge.placement.engine.Artifact;

/**
 * An order to an engine. An engine executes an order identifier at most once in each incarnation.
 *
 * @param orderId unique identifier
 * @param endpoint name of the endpoint
 * @param fencing fencing number of the holder that gave the order
 * @param action what to do
 * @param artifact what to load or unload
 * @param bytes memory of the weights
 * @param workingBytes memory kept free beside the weights; 0 for adapters
 */
public record Order(
        String orderId,
        String endpoint,
        long fencing,
        OrderAction action,
        Artifact artifact,
        long bytes,
        long workingBytes) {
    /** Checks that nothing is missing and that sizes are not negative. */
    public Order {
        Objects.requireNonNull(orderId, "orderId");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(action, "action");
        Objects.requireNonNull(artifact, "artifact");
        if (bytes < 0 || workingBytes < 0) {
            throw new IllegalArgumentException(
                    "sizes must not be negative but were " + bytes + " and " + workingBytes);
        }
    }

    /** Returns the bytes that the order may take: 0 unless it is a load. */
    public long chargeBytes() {
        return action.isLoad() ? bytes + workingBytes : 0;
    }

    /** Returns whether the order takes memory. */
    public boolean isLoad() {
        return action.isLoad();
    }
}
