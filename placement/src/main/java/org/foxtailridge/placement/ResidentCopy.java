package org.foxtailridge.placement;

/**
 * A copy that serves.
 *
 * @param endpoint name of the endpoint
 * @param version version of the weights
 */
public record ResidentCopy(String endpoint, String version) {}
