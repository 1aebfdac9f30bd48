package org.foxtailridge.configuration.check;

import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.Service;
import org.foxtailridge.configuration.model.WeightStore;
import org.foxtailridge.core.name.Names;

/** Every name, pool, data centre and version is an allowed name. */
final class NameCheck implements ConfigurationCheck {
    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        for (EntryKind kind : EntryKind.values()) {
            for (ConfigurationEntry entry : configuration.entries(kind)) {
                require(problems, entry, "name", entry.name());
            }
        }
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            require(problems, endpoint, "pool", endpoint.pool());
            require(problems, endpoint, "data_centre", endpoint.dataCentre());
        }
        for (Service service : configuration.all(Service.class)) {
            require(problems, service, "pool", service.pool());
        }
        for (Model model : configuration.all(Model.class)) {
            require(problems, model, "version", model.version());
            model.pools().forEach(pool -> require(problems, model, "pools", pool));
        }
        for (Adapter adapter : configuration.all(Adapter.class)) {
            require(problems, adapter, "version", adapter.version());
        }
        for (WeightStore store : configuration.all(WeightStore.class)) {
            requireOnlyName(problems, store);
        }
    }

    private static void requireOnlyName(ProblemSink problems, WeightStore store) {
        if (!store.name().equals(WeightStore.ONLY_NAME)) {
            String message =
                    "expected " + WeightStore.ONLY_NAME + " but was \"" + store.name() + "\"";
            problems.add(ProblemKind.BAD_NAME, store, "name", message);
        }
    }

    private static void require(
            ProblemSink problems, ConfigurationEntry entry, String field, String value) {
        if (!Names.isName(value)) {
            problems.add(
                    ProblemKind.BAD_NAME,
                    entry,
                    field,
                    "expected 1 to 128 letters, digits and ._:- but was \"" + value + "\"");
        }
    }
}
