package org.foxtailridge.placement.plan;

import java.util.List;
import java.util.Objects;

/**
 * An engine as the planner sees it.
 *
 * @param name name of the endpoint
 * @param pool group of like endpoints
 * @param dataCentre name of its data centre
 * @param accelerators number of accelerators, 1 or more
 * @param memoryBytes accelerator memory
 * @param freeBytes memory that the ledger charges nothing for
 * @param live whether it answers
 * @param leaving whether it is going out of service
 * @param copies models on it
 * @param adapters adapters on it
 */
public record EndpointView(
        String name,
        String pool,
        String dataCentre,
        int accelerators,
        long memoryBytes,
        long freeBytes,
        boolean live,
        boolean leaving,
        List<Copy> copies,
        List<Copy> adapters) {
    /** Copies the lists. */
    public EndpointView {
        Objects.requireNonNull(name, "name");
        copies = List.copyOf(copies);
        adapters = List.copyOf(adapters);
    }

    /** Returns whether models may be loaded on it. */
    public boolean takesWork() {
        return live && !leaving;
    }
}
