package org.foxtailridge.node.operator;

import java.util.List;

/**
 * What a node tells operators of itself.
 *
 * @param node name of the node
 * @param dataCentre name of its data centre
 * @param incarnation number that grows with each start
 * @param timeMs instant of the status, in milliseconds since the epoch
 * @param ready whether it takes new requests
 * @param stopping whether a graceful shutdown has begun
 * @param configurationOffset offset of the configuration in force; -1 for none
 * @param configurationStalenessMs time since the node last knew that no newer record exists
 * @param configurationProblem what keeps it from following; empty when nothing does
 * @param dutiesHeld duties whose lease it holds
 * @param liveNodes nodes that it takes for live
 * @param runningRequests requests that run
 * @param peerMessages messages sent to other nodes since the start
 * @param peerBytes bytes sent to other nodes since the start
 */
public record NodeStatus(
        String node,
        String dataCentre,
        long incarnation,
        long timeMs,
        boolean ready,
        boolean stopping,
        long configurationOffset,
        long configurationStalenessMs,
        String configurationProblem,
        List<String> dutiesHeld,
        List<String> liveNodes,
        int runningRequests,
        long peerMessages,
        long peerBytes) {}
