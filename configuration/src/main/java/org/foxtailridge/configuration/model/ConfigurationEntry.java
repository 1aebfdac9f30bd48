package org.foxtailridge.configuration.model;

/** One entry of the operators' lists, identified by its kind and name. */
public sealed interface ConfigurationEntry
        permits Adapter,
                CallerKey,
                ClientAccount,
                Endpoint,
                Model,
                Objective,
                Plan,
                Service,
                WeightStore {
    /** Returns the name, unique among entries of the same kind. */
    String name();
}
