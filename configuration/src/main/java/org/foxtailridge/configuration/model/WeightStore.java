package org.foxtailridge.configuration.model;

import java.util.Objects;

/**
 * Limits of the weight store, shared by all nodes.
 *
 * @param name always {@code default}
 * @param loadsPerSecond loads that may start each second
 * @param loadsAtFullSpeed loads that may run at once without slowing each other
 * @param adaptersInTransit adapters that may be in transit at once without slowing each other
 */
public record WeightStore(
        String name, double loadsPerSecond, int loadsAtFullSpeed, int adaptersInTransit)
        implements ConfigurationEntry {
    /** Name of the only entry of this kind. */
    public static final String ONLY_NAME = "default";

    /** Checks that no part is missing. */
    public WeightStore {
        Objects.requireNonNull(name, "name");
    }
}
