package org.foxtailridge.cli.node;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.util.List;
import java.util.stream.Collectors;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.platform.NodeOptions;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;

/** Shows the status of the nodes. */
@Command(
        name = "status",
        description = "Shows the nodes; exit code 6 when some, 5 when none could be reached")
public final class StatusCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private NodeOptions mNodes = new NodeOptions();

    @Override
    public ExitCode run(Terminal terminal) {
        try (Connection connection = Connection.open(mCommon.timeout())) {
            List<NodeReport> reports =
                    new NodeStatuses(connection).read(mNodes.addresses(connection));
            Status status = new Status(reports);
            mCommon.output().print(terminal, status, status::toText);
            return status.exitCode();
        }
    }

    private record Status(List<NodeReport> nodes) {
        private String toText() {
            return nodes.stream().map(NodeReport::toText).collect(Collectors.joining("\n"));
        }

        private ExitCode exitCode() {
            if (nodes.stream().allMatch(NodeReport::reached)) {
                return ExitCode.OK;
            }
            boolean some = nodes.stream().anyMatch(NodeReport::reached);
            return some ? ExitCode.PARTIAL : ExitCode.UNAVAILABLE;
        }
    }
}
