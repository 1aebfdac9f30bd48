package org.foxtailridge.routing;

import java.util.Objects;
import java.util.Optional;

/** The model or service that a request is for. */
public sealed interface RouteTarget {
    /** Returns the name of the model or service. */
    String name();

    /**
     * A model, with or without an adapter.
     *
     * @param name name of the model
     * @param version preferred version; another version serves while this one is resident nowhere
     * @param adapter name of the adapter; empty for none
     */
    record ModelTarget(String name, String version, Optional<String> adapter)
            implements RouteTarget {
        /** Checks that no field is null. */
        public ModelTarget {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(version, "version");
            Objects.requireNonNull(adapter, "adapter");
        }
    }

    /**
     * A plain service.
     *
     * @param name name of the service
     */
    record ServiceTarget(String name) implements RouteTarget {
        /** Checks that the name isn't null. */
        public ServiceTarget {
            Objects.requireNonNull(name, "name");
        }
    }
}
