package org.foxtailridge.configuration.model;

/**
 * A model engine or a worker of plain services.
 *
 * @param name name of the endpoint
 * @param kind what it runs
 * @param pool group of like endpoints, for example {@code stone-scribe}
 * @param dataCentre name of its data centre
 * @param address base address, for example {@code http://10.0.0.7:8000}
 * @param memoryBytes accelerator memory; 0 for plain services
 * @param accelerators number of accelerators
 * @param honoursFencing whether it refuses orders with an old fencing number
 * @param leaving whether operators are taking it out of service
 */
public record Endpoint(
        String name,
        EndpointKind kind,
        String pool,
        String dataCentre,
        String address,
        long memoryBytes,
        int accelerators,
        boolean honoursFencing,
        boolean leaving)
        implements ConfigurationEntry {}
