package org.foxtailridge.forwarding.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailridge.forwarding.configuration.EnginePool;
import org.foxtailridge.forwarding.configuration.ModelConfiguration;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.endpoint.HeldModel;
import org.foxtailridge.forwarding.front.RequestTargets;
import org.foxtailridge.placement.announced.EngineView;
import org.foxtailridge.placement.announced.ModelSize;
import org.foxtailridge.placement.announced.PoolSize;

/** Puts configuration, announcements and reports in the terms of placement. */
final class EngineViews {
    private EngineViews() {}

    /** Returns what an engine holds, by what it announced or reported. */
    static EngineView view(
            EndpointAnnouncement engine,
            OptionalLong orders,
            boolean busy,
            List<HeldModel> models,
            List<String> inHostMemory,
            List<String> onDisk) {
        Map<String, List<String>> adapters = new LinkedHashMap<>();
        models.forEach(
                model ->
                        adapters.put(
                                RequestTargets.modelName(engine.service(), model.name()),
                                model.adapters()));
        return new EngineView(
                engine.id(),
                engine.service(),
                engine.dataCentre(),
                engine.startMilliseconds(),
                !engine.draining(),
                orders,
                busy,
                adapters,
                qualified(engine.service(), inHostMemory),
                qualified(engine.service(), onDisk));
    }

    private static Set<String> qualified(String service, List<String> models) {
        Set<String> names = new HashSet<>();
        models.forEach(model -> names.add(RequestTargets.modelName(service, model)));
        return names;
    }

    /** Returns the models of a service and what its engines hold. */
    static PoolSize pool(String service, EnginePool engines) {
        List<ModelSize> models = new ArrayList<>();
        for (ModelConfiguration model : engines.models()) {
            models.add(
                    new ModelSize(
                            RequestTargets.modelName(service, model.name()),
                            model.weightsMegabytes(),
                            model.adapterMegabytes(),
                            seconds(model.storeLoadTime()),
                            seconds(model.diskLoadTime()),
                            seconds(model.memoryLoadTime())));
        }
        return new PoolSize(
                service,
                engines.slots(),
                engines.memoryMegabytes(),
                engines.adapterSlots(),
                engines.loadsPerSecond(),
                models);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
