package org.foxtailridge.placement.announced;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What an engine says it holds. Immutable.
 *
 * @param engine name of the engine
 * @param service name of its service
 * @param dataCentre name of its data centre
 * @param start instant of its process's start, in milliseconds since the epoch
 * @param usable whether it takes work
 * @param ordersAccepted orders that it has accepted since its start; empty in an announcement,
 *     which does not say and may be seconds old
 * @param busy whether it carries out an order; false in an announcement
 * @param adapters names of the adapters in memory, by name of the model in memory
 * @param inHostMemory models whose weights lie in its host memory
 * @param onDisk models whose weights lie on its disk
 */
public record EngineView(
        String engine,
        String service,
        String dataCentre,
        long start,
        boolean usable,
        OptionalLong ordersAccepted,
        boolean busy,
        Map<String, List<String>> adapters,
        Set<String> inHostMemory,
        Set<String> onDisk) {
    /** Copies the collections. */
    public EngineView {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(ordersAccepted, "ordersAccepted");
        adapters = Map.copyOf(adapters);
        inHostMemory = Set.copyOf(inHostMemory);
        onDisk = Set.copyOf(onDisk);
    }

    EngineView withUsable(boolean takesWork) {
        return new EngineView(
                engine,
                service,
                dataCentre,
                start,
                takesWork,
                ordersAccepted,
                busy,
                adapters,
                inHostMemory,
                onDisk);
    }
}
