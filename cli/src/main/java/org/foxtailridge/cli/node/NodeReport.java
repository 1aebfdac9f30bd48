package org.foxtailridge.cli.node;

/**
 * What a node said of itself, or that it could not be reached.
 *
 * @param node name of the node, or its address when it did not answer
 * @param reached whether it answered
 * @param dataCentre name of its data centre; null when it did not answer
 * @param ready whether it takes requests
 * @param stopping whether it is stopping
 * @param configurationOffset offset of the configuration in force; -1 for none or no answer
 * @param runningRequests requests that run
 */
public record NodeReport(
        String node,
        boolean reached,
        String dataCentre,
        boolean ready,
        boolean stopping,
        long configurationOffset,
        int runningRequests) {
    static NodeReport unreached(String node) {
        return new NodeReport(node, false, null, false, false, -1, 0);
    }

    String toText() {
        if (!reached) {
            return node + "  not reached";
        }
        String state = stopping ? "stopping" : ready ? "ready" : "not ready";
        return String.join(
                "  ",
                node,
                dataCentre,
                state,
                "configuration " + configurationOffset,
                "running " + runningRequests);
    }
}
