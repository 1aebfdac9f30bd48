package org.foxtailridge.cli.configuration;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.foxtailridge.cli.node.NodeReport;
import org.foxtailridge.cli.node.NodeStatuses;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.platform.NodeAddress;
import org.foxtailridge.cli.platform.NodeOptions;
import org.foxtailridge.cli.terminal.Terminal;

/** Options of commands that can wait until the nodes report an edit in force. */
public final class WaitOptions {
    private static final Duration PAUSE = Duration.ofMillis(200);

    @AirlineModule private NodeOptions mNodes = new NodeOptions();

    @Option(
            name = "--wait",
            description = "Wait until every node reports the edit in force; exit code 6 if not")
    private boolean mWait;

    @Option(
            name = "--wait-seconds",
            title = "SECONDS",
            description = "Longest time to wait (default 13)")
    private long mWaitSeconds = 13;

    /**
     * Waits until every node has reached an offset, if asked to.
     *
     * @return the nodes that have not reached it in time or could not be reached
     */
    public List<String> missingAfterWait(Connection connection, Terminal terminal, long offset) {
        if (!mWait) {
            return List.of();
        }
        NodeStatuses statuses = new NodeStatuses(connection);
        List<NodeAddress> nodes = mNodes.addresses(connection);
        Instant end = terminal.clock().instant().plusSeconds(mWaitSeconds);
        List<String> missing = missing(statuses.read(nodes), offset);
        while (!missing.isEmpty() && terminal.clock().instant().isBefore(end)) {
            if (terminal.showsProgress()) {
                terminal.err().println("waiting for " + String.join(", ", missing));
            }
            terminal.pause(PAUSE);
            missing = missing(statuses.read(nodes), offset);
        }
        return missing;
    }

    private static List<String> missing(List<NodeReport> reports, long offset) {
        return reports.stream()
                .filter(report -> report.configurationOffset() < offset)
                .map(NodeReport::node)
                .toList();
    }
}
