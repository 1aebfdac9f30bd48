package org.foxtailridge.bench.placement;

import java.util.List;

/**
 * Sizes of a deployment with model engines.
 *
 * @param name name in the table
 * @param workers engines, spread evenly over three data centres
 * @param models listed models
 * @param adapters listed adapters, whose room counts to the models in equal parts
 * @param loadsPerSecond loads of models that the weight store starts each second
 * @param loadsAtOnce loads that run at once at full speed
 */
record Deployment(
        String name,
        int workers,
        int models,
        int adapters,
        double loadsPerSecond,
        int loadsAtOnce) {
    static final long GIGABYTE = 1_000_000_000L;
    static final long MEMORY_BYTES = 160 * GIGABYTE;
    static final long ADAPTER_BYTES = GIGABYTE / 5;
    static final int DATA_CENTRES = 3;
    static final List<Deployment> ALL =
            List.of(
                    new Deployment("Viti Stone", 6, 13, 55, 1.5, 7),
                    new Deployment("Voz Quetzal", 13, 20, 115, 3, 3));
}
