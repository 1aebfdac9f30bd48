package org.foxtailridge.node.caller;

import java.util.ArrayList;
import java.util.List;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.core.json.Json;
import org.foxtailridge.node.duty.ConfigurationView;

/** Serves {@code GET /v1/models}: what the plan of the caller's key allows. */
@Singleton
final class ModelsHandler {
    private static final int OK = 200;

    private final ConfigurationView mConfiguration;
    private final Authentication mAuthentication;

    @Inject
    ModelsHandler(ConfigurationView configuration, Authentication authentication) {
        mAuthentication = authentication;
        mConfiguration = configuration;
    }

    void handle(CallerExchange exchange) {
        Configuration configuration = mConfiguration.current();
        Caller caller = mAuthentication.authenticate(exchange);
        List<ListedModel> models = new ArrayList<>();
        for (Model model : configuration.all(Model.class)) {
            if (caller.mayUseModel(model.name())) {
                models.add(new ListedModel(model.name(), "model", "foxtailridge"));
            }
        }
        for (Adapter adapter : configuration.all(Adapter.class)) {
            if (caller.mayUseModel(adapter.model()) && caller.mayUseAdapter(adapter.name())) {
                String name = adapter.model() + ":" + adapter.name();
                models.add(new ListedModel(name, "model", "foxtailridge"));
            }
        }
        exchange.answer(OK, Json.writeBytes(new ModelList("list", models)));
    }

    private record ListedModel(String id, String object, String ownedBy) {}

    private record ModelList(String object, List<ListedModel> data) {}
}
