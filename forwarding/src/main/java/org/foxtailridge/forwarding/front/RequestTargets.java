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

/** Names under which the queue and the router know what requests ask for. */
public final class RequestTargets {
    private static final String ANY_VERSION = "";
    private static final char SEPARATOR = '/';

    private RequestTargets() {}

    /** Returns the name of a model of a service; models of other services may share its own. */
    public static String modelName(String service, String model) {
        return service + SEPARATOR + model;
    }

    static RouteTarget targetOf(ForwardingService service, RequestMetadata facts) {
        if (service.engines().isEmpty() || facts.model().isEmpty()) {
            return new RouteTarget.ServiceTarget(service.name());
        }
        WantedModel wanted = facts.model().get();
        return new RouteTarget.ModelTarget(
                modelName(service.name(), wanted.model()), ANY_VERSION, wanted.adapter());
    }

    /**
     * Returns the prefixes of a prompt. A part is only of use behind the parts before it and under
     * the same adapter, so that a prefix is named by all of these.
     */
    static List<PromptPrefix> prefixesOf(RequestMetadata facts) {
        Optional<String> adapter = facts.model().flatMap(WantedModel::adapter);
        List<PromptPrefix> prefixes = new ArrayList<>();
        String name = adapter.orElse("");
        int tokens = 0;
        for (PromptPart part : facts.parts()) {
            name = name + SEPARATOR + part.id();
            tokens += part.tokens();
            prefixes.add(new PromptPrefix(name, tokens));
        }
        return prefixes;
    }
}
