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
 * @param name name of the node: the address of its inner network
 * @param label name of the VM, for the log
 * @param dataCentre data centre of the node
 * @param firstStart whether the whole fleet starts for the first time
 * @param callers where callers connect
 * @param readiness where the platform asks whether the node is ready
 * @param inner where other nodes send datagrams
 * @param seeds some other nodes, which may be gone
 * @param retries budget of retries of the fleet
 * @param limitTolerance by how much limits of client accounts may be passed
 * @param cutsWithdrawnKeys whether requests under way end when their key is withdrawn
 * @param orderPause time between the last order of one node and the first of another
 * @param stopTime time from the word to stop until the process is killed
 * @param loggedRequestsPerSecond requests a second whose lines are written
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
        boolean cutsWithdrawnKeys,
        Duration orderPause,
        Duration stopTime,
        int loggedRequestsPerSecond) {
    /** Checks that no part is missing. */
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
     * Returns these settings with those parts of others that take effect while a node runs: seeds,
     * retries, keys, the time to stop and the bound of the log. What a node is and where it listens
     * stays until it starts again.
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
                read.cutsWithdrawnKeys,
                orderPause,
                read.stopTime,
                read.loggedRequestsPerSecond);
    }
}
