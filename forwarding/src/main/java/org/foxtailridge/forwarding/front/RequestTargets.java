package org.foxtailridge.forwarding.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.forwarding.configuration.ForwardingService;
import org.foxtailridge.forwarding.request.PromptPart;
import org.foxtailridge.forwarding.request.RequestMetadata;
import org.foxtailridge.forwarding.request.WantedModel;
import org.foxtailridge.routing.PromptPrefix;
import org.foxtailridge.routing.RouteTarget;

/** Translates services, models and prompts of requests into the names used by the router. */
public final class RequestTargets {
    private static final String ANY_VERSION = "";
    private static final char SEPARATOR = '/';

    private RequestTargets() {}

    /** Returns a model name qualified by its service, as services may use the same model names. */
    public static String modelName(String service, String model) {
        return service + SEPARATOR + model;
    }

    static RouteTarget targetOf(ForwardingService service, RequestMetadata metadata) {
        if (service.engines().isEmpty() || metadata.model().isEmpty()) {
            return new RouteTarget.ServiceTarget(service.name());
        }
        WantedModel requested = metadata.model().get();
        return new RouteTarget.ModelTarget(
                modelName(service.name(), requested.model()), ANY_VERSION, requested.adapter());
    }

    /**
     * Returns the prefixes of a prompt, shortest first. The cached state of a part is only valid
     * behind the same preceding parts and under the same adapter, so the name of a prefix contains
     * all of these.
     */
    static List<PromptPrefix> prefixesOf(RequestMetadata metadata) {
        Optional<String> adapter = metadata.model().flatMap(WantedModel::adapter);
        List<PromptPrefix> prefixes = new ArrayList<>();
        String name = adapter.orElse("");
        int tokens = 0;
        for (PromptPart part : metadata.parts()) {
            name = name + SEPARATOR + part.id();
            tokens += part.tokens();
            prefixes.add(new PromptPrefix(name, tokens));
        }
        return prefixes;
    }
}
