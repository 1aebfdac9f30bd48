package org.foxtailridge.configuration.model;

import java.util.List;
import java.util.Objects;

/**
 * A model that must stay reachable.
 *
 * @param name name that callers use
 * @param version version of the weights
 * @param weightsBytes accelerator memory that the weights take
 * @param workingBytes accelerator memory kept free beside the weights for the KV cache
 * @param pools pools of endpoints that may hold the model; empty stands for all
 * @param contextTokens largest sum of prompt and output tokens
 */
public record Model(
        String name,
        String version,
        long weightsBytes,
        long workingBytes,
        List<String> pools,
        int contextTokens)
        implements ConfigurationEntry {
    /** Checks that no part is missing and copies the lists. */
    public Model {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(version, "version");
        pools = pools == null ? List.of() : List.copyOf(pools);
    }

    /** Returns a builder; it starts with version 1, 1 GB of weights and all pools. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Builds a {@link Model}. */
    public static final class Builder {
        private final String mName;
        private String mVersion = "1";
        private long mWeightsBytes = 1_000_000_000L;
        private long mWorkingBytes = 0;
        private List<String> mPools = List.of();
        private int mContextTokens = 8_192;

        private Builder(String name) {
            mName = name;
        }

        /** Sets the version of the weights. */
        public Builder version(String version) {
            mVersion = version;
            return this;
        }

        /** Sets the memory that the weights take, in bytes. */
        public Builder weightsBytes(long weightsBytes) {
            mWeightsBytes = weightsBytes;
            return this;
        }

        /** Sets the memory kept free beside the weights, in bytes. */
        public Builder workingBytes(long workingBytes) {
            mWorkingBytes = workingBytes;
            return this;
        }

        /** Sets the pools that may hold the model; none stands for all. */
        public Builder pools(String... pools) {
            mPools = List.of(pools);
            return this;
        }

        /** Sets the largest sum of prompt and output tokens. */
        public Builder contextTokens(int contextTokens) {
            mContextTokens = contextTokens;
            return this;
        }

        /** Returns the model. */
        public Model build() {
            return new Model(mName, mVersion, mWeightsBytes, mWorkingBytes, mPools, mContextTokens);
        }
    }
}
