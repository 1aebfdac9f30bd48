package org.foxtailridge.placement.order;

import org.foxtailridge.configuration.model.WeightStore;

/**
 * Limits of the weight store as an order record states them.
 *
 * @param loadsPerSecond loads of models that may start each second
 * @param loadsAtOnce loads of models that may run at once
 * @param adaptersAtOnce adapters that may be in transit at once
 */
public record WeightStoreLimits(double loadsPerSecond, int loadsAtOnce, int adaptersAtOnce) {
    /** Checks that the limits allow something. */
    public WeightStoreLimits {
        if (!(loadsPerSecond > 0) || loadsAtOnce < 1 || adaptersAtOnce < 1) {
            throw new IllegalArgumentException(
                    "limits must be above 0 but were "
                            + loadsPerSecond
                            + " loads a second, "
                            + loadsAtOnce
                            + " loads and "
                            + adaptersAtOnce
                            + " adapters at once");
        }
    }

    /** Returns the limits of a configuration entry. */
    public static WeightStoreLimits of(WeightStore store) {
        return new WeightStoreLimits(
                store.loadsPerSecond(), store.loadsAtFullSpeed(), store.adaptersInTransit());
    }
}
