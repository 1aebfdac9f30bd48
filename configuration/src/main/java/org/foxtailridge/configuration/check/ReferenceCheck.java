package org.foxtailridge.configuration.check;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.model.Service;

/** Every entry that another one names is listed. */
final class ReferenceCheck implements ConfigurationCheck {
    private static final String ALL = "*";

    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        Set<String> models = names(configuration.all(Model.class));
        Set<String> accounts = names(configuration.all(ClientAccount.class));
        Set<String> services = names(configuration.all(Service.class));
        checkPlans(configuration, models, services, problems);
        Set<String> plans = names(configuration.all(Plan.class));
        for (ClientAccount account : configuration.all(ClientAccount.class)) {
            problems.requireListed(account, "plan", "plan", account.plan(), plans);
        }
        for (Adapter adapter : configuration.all(Adapter.class)) {
            problems.requireListed(adapter, "model", "model", adapter.model(), models);
        }
        for (CallerKey key : configuration.all(CallerKey.class)) {
            problems.requireListed(
                    key, "client_account", "client account", key.clientAccount(), accounts);
        }
        Set<String> routes = new HashSet<>(models);
        routes.addAll(services);
        for (Objective objective : configuration.all(Objective.class)) {
            String route = objective.route();
            requireListedOrAll(objective, "route", "model or service", route, routes, problems);
            String account = objective.clientAccount();
            requireListedOrAll(
                    objective, "client_account", "client account", account, accounts, problems);
        }
    }

    private static void checkPlans(
            Configuration configuration,
            Set<String> models,
            Set<String> services,
            ProblemSink problems) {
        Set<String> adapters = names(configuration.all(Adapter.class));
        for (Plan plan : configuration.all(Plan.class)) {
            for (String model : plan.models()) {
                requireListedOrAll(plan, "models", "model", model, models, problems);
            }
            for (String adapter : plan.adapters()) {
                requireListedOrAll(plan, "adapters", "adapter", adapter, adapters, problems);
            }
            for (String service : plan.services()) {
                requireListedOrAll(plan, "services", "service", service, services, problems);
            }
        }
    }

    private static void requireListedOrAll(
            ConfigurationEntry entry,
            String field,
            String what,
            String name,
            Collection<String> names,
            ProblemSink problems) {
        if (!name.equals(ALL)) {
            problems.requireListed(entry, field, what, name, names);
        }
    }

    private static Set<String> names(List<? extends ConfigurationEntry> entries) {
        Set<String> names = new HashSet<>();
        entries.forEach(entry -> names.add(entry.name()));
        return names;
    }
}
