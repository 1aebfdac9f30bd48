package org.foxtailridge.configuration.model;

import java.util.Objects;

/**
 * A model engine or a worker of plain services.
 *
 * @param name name of the endpoint
 * @param kind what it runs
 * @param pool group of like endpoints, for example {@code stone-scribe}
 * @param dataCentre name of its data centre
 * @param address base address, for example {@code http://10.0.0.7:8000}
 * @param memoryBytes accelerator memory; 0 for plain services
 * @param accelerators number of accelerators
 * @param honoursFencing whether it refuses orders with an old fencing number
 * @param leaving whether operators are taking it out of service
 */
public record Endpoint(
        String name,
        EndpointKind kind,
        String pool,
        String dataCentre,
        String address,
        long memoryBytes,
        int accelerators,
        boolean honoursFencing,
        boolean leaving)
        implements ConfigurationEntry {
    /** Checks that no part is missing. */
    public Endpoint {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(address, "address");
    }

    /** Returns a builder; it starts as an engine of the pool {@code default} without memory. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Builds an {@link Endpoint}. */
    public static final class Builder {
        private final String mName;
        private EndpointKind mKind = EndpointKind.ENGINE;
        private String mPool = "default";
        private String mDataCentre = "default";
        private String mAddress = "http://127.0.0.1:8000";
        private long mMemoryBytes = 0;
        private int mAccelerators = 1;
        private boolean mHonoursFencing = false;
        private boolean mLeaving = false;

        private Builder(String name) {
            mName = name;
        }

        /** Sets the kind of endpoint. */
        public Builder kind(EndpointKind kind) {
            mKind = kind;
            return this;
        }

        public Builder pool(String pool) {
            mPool = pool;
            return this;
        }

        /** Sets the name of its data centre. */
        public Builder dataCentre(String dataCentre) {
            mDataCentre = dataCentre;
            return this;
        }

        /** Sets the base address. */
        public Builder address(String address) {
            mAddress = address;
            return this;
        }

        /** Sets the accelerator memory, in bytes. */
        public Builder memoryBytes(long memoryBytes) {
            mMemoryBytes = memoryBytes;
            return this;
        }

        /** Sets the number of accelerators. */
        public Builder accelerators(int accelerators) {
            mAccelerators = accelerators;
            return this;
        }

        /** Sets the answer to whether it refuses orders with an old fencing number. */
        public Builder honoursFencing(boolean honoursFencing) {
            mHonoursFencing = honoursFencing;
            return this;
        }

        /** Sets the answer to whether it is being taken out of service. */
        public Builder leaving(boolean leaving) {
            mLeaving = leaving;
            return this;
        }

        /** Returns the endpoint. */
        public Endpoint build() {
            return new Endpoint(
                    mName,
                    mKind,
                    mPool,
                    mDataCentre,
                    mAddress,
                    mMemoryBytes,
                    mAccelerators,
                    mHonoursFencing,
                    mLeaving);
        }
    }
}
