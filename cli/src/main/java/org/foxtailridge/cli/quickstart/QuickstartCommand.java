package org.foxtailridge.cli.quickstart;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.foxtailridge.cli.configuration.ListFiles;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.list.ConfigurationList;
import org.foxtailridge.configuration.list.ExampleLists;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.json.Json;

/** Runs nodes and stand-ins in one process until it is interrupted. */
@Command(
        name = "quickstart",
        description = "Runs nodes and stand-ins in one process on loopback until interrupted")
public final class QuickstartCommand implements OperatorCommand {
    @Option(name = "--nodes", title = "N", description = "Number of nodes (default 3)")
    private int mNodes = 3;

    @Option(name = "--endpoints", title = "N", description = "Number of engines (default 4)")
    private int mEndpoints = 4;

    @Option(
            name = "--port",
            title = "PORT",
            description =
                    "Port of the first node's callers, others follow; 0 picks free ones "
                            + "(default 8080)")
    private int mPort = 8080;

    @Option(
            name = "--configuration",
            title = "FILE",
            description =
                    "List file in TOML; its endpoints and keys are replaced (default: an example)")
    private String mConfiguration;

    @Option(
            name = "--first-token-ms",
            title = "MILLISECONDS",
            description = "Time that an engine takes to the first token (default 20)")
    private long mFirstTokenMilliseconds = 20;

    @Option(
            name = "--between-tokens-ms",
            title = "MILLISECONDS",
            description = "Time that an engine takes between tokens (default 10)")
    private long mBetweenTokensMilliseconds = 10;

    @Override
    public ExitCode run(Terminal terminal) {
        QuickstartSettings settings =
                new QuickstartSettings(
                        mNodes,
                        mEndpoints,
                        mPort,
                        mFirstTokenMilliseconds,
                        mBetweenTokensMilliseconds);
        LocalSystem system = LocalSystem.start(settings, listed(), terminal);
        terminal.out().println(Json.write(system.ready()));
        terminal.out().flush();
        terminal.awaitStop(system);
        return ExitCode.OK;
    }

    private Configuration listed() {
        ConfigurationList list =
                mConfiguration == null
                        ? ExampleLists.QUICKSTART.read()
                        : ListFiles.read(mConfiguration);
        return list.require();
    }
}
