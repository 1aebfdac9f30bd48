package org.foxtailridge.node.caller;

import java.util.List;
import org.foxtailridge.configuration.model.Plan;

/**
 * Who calls.
 *
 * @param key public identifier of the key
 * @param clientAccount name of the client account
 * @param plan its plan
 */
record Caller(String key, String clientAccount, Plan plan) {
    private static final String ALL = "*";

    /** Refuses a model that the plan doesn't allow. */
    void requireModel(String model) {
        require(plan.models(), model);
    }

    /** Refuses an adapter that the plan doesn't allow. */
    void requireAdapter(String adapter) {
        require(plan.adapters(), adapter);
    }

    /** Refuses a service that the plan doesn't allow. */
    void requireService(String service) {
        require(plan.services(), service);
    }

    boolean mayUseModel(String model) {
        return allows(plan.models(), model);
    }

    boolean mayUseAdapter(String adapter) {
        return allows(plan.adapters(), adapter);
    }

    private void require(List<String> allowed, String name) {
        if (!allows(allowed, name)) {
            throw RefusedException.notOnPlan(plan.name(), name);
        }
    }

    private static boolean allows(List<String> allowed, String name) {
        return allowed.contains(name) || allowed.contains(ALL);
    }
}
