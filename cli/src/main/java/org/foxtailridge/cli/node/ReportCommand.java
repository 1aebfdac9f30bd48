package org.foxtailridge.cli.node;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.platform.NodeOptions;
import org.foxtailridge.cli.platform.OptionException;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.objectives.report.BurnReport;
import org.foxtailridge.objectives.report.ReportPage;
import org.foxtailridge.objectives.report.ReportText;

/** Collects what all nodes have counted and shows the service-level burn. */
@Command(
        name = "report",
        description =
                "Shows the service-level burn, the worst-served client account first; exit code 6 "
                        + "when some, 5 when none of the nodes could be reached")
public final class ReportCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private NodeOptions mNodes = new NodeOptions();

    @Option(
            name = "--html",
            title = "FILE",
            description = "Writes the report as one HTML page with plots, too")
    private String mHtml;

    @Override
    public ExitCode run(Terminal terminal) {
        try (Connection connection = Connection.open(mCommon.timeout())) {
            BurnReport report =
                    new BurnCollector(connection)
                            .collect(mNodes.addresses(connection), terminal.clock().millis());
            mCommon.output().print(terminal, report, () -> ReportText.render(report));
            if (mHtml != null) {
                writePage(report);
            }
            return exitCode(report);
        }
    }

    private void writePage(BurnReport report) {
        try {
            Files.writeString(Path.of(mHtml), ReportPage.render(report));
        } catch (IOException failure) {
            throw new OptionException("a file that can be written", mHtml);
        }
    }

    private static ExitCode exitCode(BurnReport report) {
        if (report.reachedNodes().isEmpty()) {
            return ExitCode.UNAVAILABLE;
        }
        return report.unreachedNodes().isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
    }
}
