package org.foxtailridge.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.foxtailridge.cli.configuration.DiffCommand;
import org.foxtailridge.cli.configuration.PublishCommand;
import org.foxtailridge.cli.configuration.ShowCommand;
import org.foxtailridge.cli.configuration.ValidateCommand;
import org.foxtailridge.cli.explain.ExplainCommand;
import org.foxtailridge.cli.key.GiveCommand;
import org.foxtailridge.cli.key.ListCommand;
import org.foxtailridge.cli.key.WithdrawCommand;
import org.foxtailridge.cli.load.LoadCommand;
import org.foxtailridge.cli.node.ReportCommand;
import org.foxtailridge.cli.node.StatusCommand;
import org.foxtailridge.cli.platform.OptionException;
import org.foxtailridge.cli.quickstart.QuickstartCommand;
import org.foxtailridge.cli.standin.EngineCommand;
import org.foxtailridge.cli.standin.LogCommand;
import org.foxtailridge.cli.standin.ServiceCommand;
import org.foxtailridge.cli.standin.VmListCommand;
import org.foxtailridge.cli.standin.WeightStoreCommand;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.ProcessTerminal;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.time.MonotonicClock;

/**
 * Entry point of the command line {@code foxtailridge}.
 *
 * <p>Results go to standard output, messages and logs to standard error. {@link ExitCode} lists the
 * exit codes.
 */
@Cli(
        name = "foxtailridge",
        description = "Operates a foxtailridge system",
        commands = {
            QuickstartCommand.class,
            StatusCommand.class,
            ReportCommand.class,
            ExplainCommand.class,
            LoadCommand.class
        },
        groups = {
            @Group(
                    name = "configuration",
                    description = "Checks, publishes and shows the operators' lists",
                    commands = {
                        ValidateCommand.class,
                        PublishCommand.class,
                        ShowCommand.class,
                        DiffCommand.class
                    }),
            @Group(
                    name = "key",
                    description = "Gives, withdraws and lists callers' keys",
                    commands = {GiveCommand.class, WithdrawCommand.class, ListCommand.class}),
            @Group(
                    name = "standin",
                    description = "Runs a stand-in of an outside system until it is stopped",
                    commands = {
                        EngineCommand.class,
                        LogCommand.class,
                        VmListCommand.class,
                        WeightStoreCommand.class,
                        ServiceCommand.class
                    })
        })
public final class Foxtailridge {
    private static final Set<String> HELP_WORDS = Set.of("--help", "-h", "help");
    private static final String LOG_SETTINGS_PROPERTY = "log4j2.configurationFile";
    private static final String LOG_SETTINGS = "log4j2-command-line.xml";

    private Foxtailridge() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) {
        if (System.getProperty(LOG_SETTINGS_PROPERTY) == null) {
            System.setProperty(LOG_SETTINGS_PROPERTY, LOG_SETTINGS);
        }
        Terminal terminal = new ProcessTerminal(MonotonicClock.start());
        System.exit(run(List.of(arguments), terminal).number());
    }

    /**
     * Runs a command.
     *
     * @param arguments words of the command line
     * @param terminal where the command writes and waits
     */
    public static ExitCode run(List<String> arguments, Terminal terminal) {
        com.github.rvesse.airline.Cli<OperatorCommand> commands =
                new com.github.rvesse.airline.Cli<>(Foxtailridge.class);
        if (arguments.isEmpty() || arguments.stream().anyMatch(HELP_WORDS::contains)) {
            return showHelp(commands, arguments, terminal);
        }
        OperatorCommand command;
        try {
            command = commands.parse(arguments.toArray(String[]::new));
        } catch (ParseException failure) {
            terminal.err().println(failure.getMessage());
            terminal.err().println("Add --help to see what is allowed.");
            return ExitCode.USAGE;
        }
        return runReporting(command, terminal);
    }

    private static ExitCode runReporting(OperatorCommand command, Terminal terminal) {
        try {
            return command.run(terminal);
        } catch (FoxtailridgeException | CompletionException thrown) {
            FoxtailridgeException failure = FoxtailridgeException.from(thrown);
            terminal.err().println(failure.kind().wireName() + ": " + failure.getMessage());
            return exitCodeOf(failure);
        }
    }

    private static ExitCode showHelp(
            com.github.rvesse.airline.Cli<OperatorCommand> commands,
            List<String> arguments,
            Terminal terminal) {
        List<String> words =
                arguments.stream()
                        .takeWhile(word -> !word.startsWith("-"))
                        .filter(word -> !HELP_WORDS.contains(word))
                        .toList();
        try {
            Help.help(commands.getMetadata(), words, terminal.out());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
    }

    private static ExitCode exitCodeOf(FoxtailridgeException failure) {
        if (failure instanceof OptionException) {
            return ExitCode.USAGE;
        }
        return switch (failure.kind()) {
            case CONFIGURATION_INVALID, MALFORMED_REQUEST -> ExitCode.INVALID;
            case EDIT_CONFLICT -> ExitCode.CONFLICT;
            case LOG_UNAVAILABLE, NOT_READY -> ExitCode.UNAVAILABLE;
            default -> ExitCode.FAILED;
        };
    }
}
