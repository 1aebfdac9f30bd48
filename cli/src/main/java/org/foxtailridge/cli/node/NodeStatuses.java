package org.foxtailridge.cli.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.platform.NodeAddress;
import org.foxtailridge.clients.http.JsonAnswer;

/** Asks nodes for their status, all at once. */
public final class NodeStatuses {
    private final Connection mConnection;

    /** Creates a reader that asks through a connection. */
    public NodeStatuses(Connection connection) {
        mConnection = connection;
    }

    /** Returns a report for each node in the order given. */
    public List<NodeReport> read(List<NodeAddress> nodes) {
        List<CompletableFuture<NodeReport>> reports = nodes.stream().map(this::ask).toList();
        return reports.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<NodeReport> ask(NodeAddress node) {
        return mConnection
                .get(node.operatorAddress(), "/status")
                .thenApply(NodeStatuses::read)
                .exceptionally(failure -> NodeReport.unreached(node.node()));
    }

    private static NodeReport read(JsonAnswer answer) {
        Status status = answer.as(Status.class);
        return new NodeReport(
                status.node(),
                true,
                status.dataCentre(),
                status.ready(),
                status.stopping(),
                status.configurationOffset(),
                status.runningRequests());
    }

    private record Status(
            String node,
            String dataCentre,
            boolean ready,
            boolean stopping,
            long configurationOffset,
            int runningRequests) {}
}
