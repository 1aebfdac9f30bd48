package org.foxtailridge.bench.routing;

import java.util.List;

/**
 * Sizes of one deployment.
 *
 * @param name name of the deployment
 * @param nodes nodes
 * @param engines model engines, each of one accelerator
 * @param models models
 * @param replicas engines that hold each model
 * @param adapters adapters
 * @param adaptersInTransit adapters in transit that don't slow each other
 * @param shares share of the demand of each client account
 */
record Deployment(
        String name,
        int nodes,
        int engines,
        int models,
        int replicas,
        int adapters,
        int adaptersInTransit,
        List<Double> shares) {
    private static final List<Double> SHARES = List.of(0.35, 0.3, 0.2, 0.1, 0.05);

    static Deployment vitiStone() {
        return new Deployment("viti stone", 8, 6, 13, 3, 55, 55, SHARES);
    }

    static Deployment vozQuetzal() {
        return new Deployment("voz quetzal", 8, 13, 20, 4, 115, 25, SHARES);
    }

    String dataCentreOf(int index) {
        return "data-centre-" + index % 3;
    }
}
