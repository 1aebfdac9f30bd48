package org.foxtailridge.configuration.model;

import java.util.List;

/**
 * What a client account may use, and how much of it.
 *
 * @param name name of the plan
 * @param rateTokensPerSecond tokens refilled each second, over all VMs together
 * @param burstTokens tokens that may be used at once, over all VMs together
 * @param models names of models that may be used; {@code *} stands for all
 * @param adapters names of adapters that may be used; {@code *} stands for all
 * @param services names of plain services that may be called; {@code *} stands for all
 * @param maximumStalenessSeconds age of the configuration, in seconds, past which a node that can't
 *     learn of changes refuses this plan's requests
 * @param maximumConnections connections of one client account that one VM accepts
 */
public record Plan(
        String name,
        long rateTokensPerSecond,
        long burstTokens,
        List<String> models,
        List<String> adapters,
        List<String> services,
        int maximumStalenessSeconds,
        int maximumConnections)
        implements ConfigurationEntry {
    /** Copies the lists. */
    public Plan {
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        services = services == null ? List.of() : List.copyOf(services);
    }
}
