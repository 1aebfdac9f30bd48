package org.foxtailridge.configuration.model;

import java.util.List;
import java.util.Objects;

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
    /** Checks that no part is missing and copies the lists. */
    public Plan {
        Objects.requireNonNull(name, "name");
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        services = services == null ? List.of() : List.copyOf(services);
    }

    /**
     * Returns a builder; it starts with a rate of 1,000 tokens a second, a burst of 10,000 and
     * nothing allowed.
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Builds a {@link Plan}. */
    public static final class Builder {
        private final String mName;
        private long mRateTokensPerSecond = 1_000;
        private long mBurstTokens = 10_000;
        private List<String> mModels = List.of();
        private List<String> mAdapters = List.of();
        private List<String> mServices = List.of();
        private int mMaximumStalenessSeconds = 3_600;
        private int mMaximumConnections = 256;

        private Builder(String name) {
            mName = name;
        }

        /** Sets the rate, in tokens a second. */
        public Builder rateTokensPerSecond(long rateTokensPerSecond) {
            mRateTokensPerSecond = rateTokensPerSecond;
            return this;
        }

        /** Sets the burst, in tokens. */
        public Builder burstTokens(long burstTokens) {
            mBurstTokens = burstTokens;
            return this;
        }

        /** Sets the models that may be used. */
        public Builder models(String... models) {
            mModels = List.of(models);
            return this;
        }

        /** Sets the adapters that may be used. */
        public Builder adapters(String... adapters) {
            mAdapters = List.of(adapters);
            return this;
        }

        /** Sets the plain services that may be called. */
        public Builder services(String... services) {
            mServices = List.of(services);
            return this;
        }

        /** Sets the largest age of the configuration, in seconds. */
        public Builder maximumStalenessSeconds(int maximumStalenessSeconds) {
            mMaximumStalenessSeconds = maximumStalenessSeconds;
            return this;
        }

        /** Sets the connections of one client account that one VM accepts. */
        public Builder maximumConnections(int maximumConnections) {
            mMaximumConnections = maximumConnections;
            return this;
        }

        /** Returns the plan. */
        public Plan build() {
            return new Plan(
                    mName,
                    mRateTokensPerSecond,
                    mBurstTokens,
                    mModels,
                    mAdapters,
                    mServices,
                    mMaximumStalenessSeconds,
                    mMaximumConnections);
        }
    }
}
