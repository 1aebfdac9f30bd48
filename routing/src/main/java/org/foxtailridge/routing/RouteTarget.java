package org.foxtailridge.routing;

import java.util.Objects;
import java.util.Optional;

/** What a request is for. */
public sealed interface RouteTarget {
    /** Returns the name of the model or service. */
    String name();

    /**
     * A model, with or without an adapter.
     *
     * @param name name of the model
     * @param version version to prefer; another resident version serves while this one is nowhere
     * @param adapter name of the adapter
     */
    record ModelTarget(String name, String version, Optional<String> adapter)
            implements RouteTarget {
        /** Checks the names. */
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
        /** Checks the name. */
        public ServiceTarget {
            Objects.requireNonNull(name, "name");
        }
    }
}
