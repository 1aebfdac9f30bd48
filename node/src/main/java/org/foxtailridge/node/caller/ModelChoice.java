package org.foxtailridge.node.caller;

import java.util.Optional;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Model;

/**
 * The listed model and adapter that a caller named.
 *
 * @param model the model
 * @param adapter the adapter, if the caller named one
 */
record ModelChoice(Model model, Optional<Adapter> adapter) {
    private static final char SEPARATOR = ':';

    /**
     * Finds what {@code model} or {@code model:adapter} stands for.
     *
     * @throws RefusedException with kind {@code UNKNOWN_MODEL} when it isn't listed, and {@code
     *     NOT_ON_PLAN} when the caller's plan doesn't allow it
     */
    static ModelChoice find(Configuration configuration, Caller caller, String name) {
        Optional<Model> whole = configuration.find(Model.class, name);
        if (whole.isPresent()) {
            caller.requireModel(name);
            return new ModelChoice(whole.get(), Optional.empty());
        }
        int separator = name.lastIndexOf(SEPARATOR);
        if (separator <= 0) {
            throw RefusedException.unknownModel(name);
        }
        return findWithAdapter(
                configuration, caller, name.substring(0, separator), name.substring(separator + 1));
    }

    private static ModelChoice findWithAdapter(
            Configuration configuration, Caller caller, String modelName, String adapterName) {
        String name = modelName + SEPARATOR + adapterName;
        Model model =
                configuration
                        .find(Model.class, modelName)
                        .orElseThrow(() -> RefusedException.unknownModel(name));
        Adapter adapter =
                configuration
                        .find(Adapter.class, adapterName)
                        .filter(listed -> listed.model().equals(modelName))
                        .orElseThrow(() -> RefusedException.unknownModel(name));
        caller.requireModel(modelName);
        caller.requireAdapter(adapterName);
        return new ModelChoice(model, Optional.of(adapter));
    }

    Optional<String> adapterName() {
        return adapter.map(Adapter::name);
    }
}
