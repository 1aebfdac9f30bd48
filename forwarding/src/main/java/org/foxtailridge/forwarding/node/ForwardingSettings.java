package org.foxtailridge.forwarding.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.execution.retry.FleetRetrySettings;
import org.foxtailridge.limits.LimitTolerance;

/**
 * Settings of a node that forwards requests. Immutable.
 *
 * @param name name of the node: the address at which it receives datagrams of other nodes
 * @param label name of the VM, used in log lines
 * @param dataCentre data centre of the node
 * @param firstStart whether the whole fleet starts for the first time
 * @param callers address on which callers connect
 * @param readiness address of the readiness probe and the metrics
 * @param inner address on which datagrams of other nodes arrive
 * @param seeds some other nodes, for discovery; they may be gone
 * @param retries retry budget of the fleet
 * @param limitTolerance by how much the limits of client accounts may be exceeded
 * @param endsRequestsOfWithdrawnKeys whether requests in flight end when their key is withdrawn
 * @param orderPause time between the last placement order of one node and the first of another
 * @param stopTime time from the request to stop until the process is killed
 * @param loggedRequestsPerSecond maximum number of requests per second that are logged
 */
public record ForwardingSettings(
        NodeName name,
        String label,
        DataCentreName dataCentre,
        boolean firstStart,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress inner,
        List<NodeName> seeds,
        FleetRetrySettings retries,
        LimitTolerance limitTolerance,
        boolean endsRequestsOfWithdrawnKeys,
        Duration orderPause,
        Duration stopTime,
        int loggedRequestsPerSecond) {
    /** Creates settings; no component may be null. */
    public ForwardingSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(label, "label");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(inner, "inner");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(limitTolerance, "limitTolerance");
        Objects.requireNonNull(orderPause, "orderPause");
        Objects.requireNonNull(stopTime, "stopTime");
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns these settings with those components of {@code read} that can change while a node
     * runs: seeds, retries, endsRequestsOfWithdrawnKeys, stopTime and loggedRequestsPerSecond. The
     * identity of the node, its addresses and the other components change only with a restart.
     */
    public ForwardingSettings reloaded(ForwardingSettings read) {
        return new ForwardingSettings(
                name,
                label,
                dataCentre,
                firstStart,
                callers,
                readiness,
                inner,
                read.seeds,
                read.retries,
                limitTolerance,
                read.endsRequestsOfWithdrawnKeys,
                orderPause,
                read.stopTime,
                read.loggedRequestsPerSecond);
    }
}
