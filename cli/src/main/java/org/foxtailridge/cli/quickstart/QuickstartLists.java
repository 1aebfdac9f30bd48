package org.foxtailridge.cli.quickstart;

import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.configuration.model.EndpointKind;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.model.Service;

/** The lists of a quickstart: those of a file, with the quickstart's own endpoints. */
final class QuickstartLists {
    static final long ENGINE_MEMORY_BYTES = 80_000_000_000L;
    private static final String ANY_POOL = "engines";
    private static final String ALL = "*";
    private static final int DATA_CENTRES = 2;

    private final Configuration mListed;

    QuickstartLists(Configuration listed) {
        mListed = listed;
    }

    static String dataCentre(int number) {
        return "centre-" + number % DATA_CENTRES;
    }

    /** Returns the pool of an engine; engines take turns over the pools that models name. */
    String enginePool(int engine) {
        SortedSet<String> pools = new TreeSet<>();
        mListed.all(Model.class).forEach(model -> pools.addAll(model.pools()));
        if (pools.isEmpty()) {
            return ANY_POOL;
        }
        return List.copyOf(pools).get(engine % pools.size());
    }

    List<String> servicePools() {
        return mListed.all(Service.class).stream().map(Service::pool).distinct().toList();
    }

    /** Returns the models that an engine holds from the start: each engine begins with another. */
    List<Model> modelsOf(int engine) {
        List<Model> models = mListed.all(Model.class);
        List<Model> held = new ArrayList<>();
        long free = ENGINE_MEMORY_BYTES;
        for (int turn = 0; turn < models.size(); turn++) {
            Model model = models.get((engine + turn) % models.size());
            boolean suits = model.pools().isEmpty() || model.pools().contains(enginePool(engine));
            long needed = model.weightsBytes() + model.workingBytes() + adapterBytes(model);
            if (suits && needed <= free) {
                held.add(model);
                free -= needed;
            }
        }
        return held;
    }

    List<Adapter> adaptersOf(Model model) {
        return mListed.all(Adapter.class).stream()
                .filter(adapter -> adapter.model().equals(model.name()))
                .toList();
    }

    /**
     * Returns the lists with an engine for each address and one worker for each pool of services.
     */
    Configuration withEndpoints(List<URI> engines, List<URI> workers) {
        Configuration.Builder builder = Configuration.builder();
        for (EntryKind kind : EntryKind.values()) {
            for (ConfigurationEntry entry : mListed.entries(kind)) {
                if (!(entry instanceof Endpoint) && !(entry instanceof CallerKey)) {
                    builder.put(entry);
                }
            }
        }
        for (int engine = 0; engine < engines.size(); engine++) {
            builder.put(engine(engine, engines.get(engine)));
        }
        for (int worker = 0; worker < workers.size(); worker++) {
            builder.put(worker(worker, workers.get(worker)));
        }
        return builder.build();
    }

    /** Returns the client accounts, the one with the highest rate first. */
    List<ClientAccount> accounts() {
        Comparator<ClientAccount> byRate = Comparator.comparingLong(a -> -planOf(a));
        return mListed.all(ClientAccount.class).stream()
                .sorted(byRate.thenComparing(ClientAccount::name))
                .toList();
    }

    /** Returns the name of a model that a client account may use; null when there is none. */
    String modelFor(ClientAccount account) {
        Plan plan = mListed.find(Plan.class, account.plan()).orElseThrow();
        return mListed.all(Model.class).stream()
                .map(Model::name)
                .filter(name -> plan.models().contains(ALL) || plan.models().contains(name))
                .findFirst()
                .orElse(null);
    }

    private long planOf(ClientAccount account) {
        return mListed.find(Plan.class, account.plan()).map(Plan::rateTokensPerSecond).orElse(0L);
    }

    private long adapterBytes(Model model) {
        return adaptersOf(model).stream().mapToLong(Adapter::bytes).sum();
    }

    private Endpoint engine(int number, URI address) {
        return new Endpoint(
                "engine-" + number,
                EndpointKind.ENGINE,
                enginePool(number),
                dataCentre(number),
                address.toString(),
                ENGINE_MEMORY_BYTES,
                1,
                true,
                false);
    }

    private Endpoint worker(int number, URI address) {
        return new Endpoint(
                "worker-" + number,
                EndpointKind.SERVICE,
                servicePools().get(number),
                dataCentre(number),
                address.toString(),
                0,
                0,
                false,
                false);
    }
}
