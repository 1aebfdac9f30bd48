package org.foxtailridge.configuration.model;

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
        implements ConfigurationEntry {}
