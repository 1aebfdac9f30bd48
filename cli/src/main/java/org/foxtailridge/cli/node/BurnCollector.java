package org.foxtailridge.cli.node;

import com.google.common.collect.Lists;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.platform.NodeAddress;
import org.foxtailridge.clients.http.JsonAnswer;
import org.foxtailridge.objectives.report.BurnReport;
import org.foxtailridge.protocol.objectives.BurnCounts;

/** Asks nodes for what they have counted, a bounded number of them at once. */
final class BurnCollector {
    private static final String PATH = "/burn";
    private static final int NODES_AT_ONCE = 32;

    private final Connection mConnection;

    BurnCollector(Connection connection) {
        mConnection = connection;
    }

    /**
     * Returns the report on all nodes; those without a readable answer are named as not reached.
     */
    BurnReport collect(List<NodeAddress> nodes, long asOfMs) {
        BurnReport.Builder report = BurnReport.builder(asOfMs);
        Lists.partition(nodes, NODES_AT_ONCE).forEach(some -> collect(some, report));
        return report.build();
    }

    private void collect(List<NodeAddress> nodes, BurnReport.Builder report) {
        List<CompletableFuture<Optional<BurnCounts>>> answers =
                nodes.stream().map(this::ask).toList();
        for (int node = 0; node < nodes.size(); node++) {
            Optional<BurnCounts> counts = answers.get(node).join();
            counts.ifPresent(report::add);
            if (counts.isEmpty()) {
                report.unreachable(nodes.get(node).node());
            }
        }
    }

    private CompletableFuture<Optional<BurnCounts>> ask(NodeAddress node) {
        return mConnection
                .get(node.operatorAddress(), PATH)
                .thenApply(BurnCollector::read)
                .exceptionally(failure -> Optional.empty());
    }

    private static Optional<BurnCounts> read(JsonAnswer answer) {
        if (!answer.isSuccess()) {
            return Optional.empty();
        }
        try {
            return Optional.of(BurnCounts.parseFrom(answer.body()));
        } catch (InvalidProtocolBufferException unreadable) {
            return Optional.empty();
        }
    }
}
