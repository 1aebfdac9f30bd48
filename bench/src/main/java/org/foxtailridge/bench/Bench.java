package org.foxtailridge.bench;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Set;
import org.foxtailridge.bench.command.BenchCommand;
import org.foxtailridge.bench.command.ListCommand;
import org.foxtailridge.bench.command.RunCommand;

/**
 * Entry point of the comparisons.
 *
 * <pre>{@code
 * bench/run list
 * bench/run run limits --seed 1
 * bench/run run limits claims --seed 1 --results bench/results.csv --date 2026-12-04 --commit 0abc
 * }</pre>
 */
@Cli(
        name = "bench",
        description = "Compares policies with baselines in simulations",
        commands = {ListCommand.class, RunCommand.class})
public final class Bench {
    private static final int OK = 0;
    private static final int USAGE = 2;
    private static final Set<String> HELP_WORDS = Set.of("--help", "-h", "help");

    private Bench() {}

    /** Runs a command; exits with 0, or with 2 when the words can't be understood. */
    public static void main(String[] arguments) {
        System.exit(run(List.of(arguments), System.out, System.err));
    }

    /**
     * Runs a command.
     *
     * @param arguments words of the command line
     * @param out takes results
     * @param err takes messages
     * @return 0, or 2 when the words can't be understood
     */
    public static int run(List<String> arguments, PrintStream out, PrintStream err) {
        com.github.rvesse.airline.Cli<BenchCommand> commands =
                new com.github.rvesse.airline.Cli<>(Bench.class);
        if (arguments.isEmpty() || arguments.stream().anyMatch(HELP_WORDS::contains)) {
            showHelp(commands, arguments, out);
            return arguments.isEmpty() ? USAGE : OK;
        }
        try {
            commands.parse(arguments.toArray(String[]::new)).run(out);
            return OK;
        } catch (ParseException | UnknownComparisonException failure) {
            err.println(failure.getMessage());
            err.println("Add --help to see what is allowed.");
            return USAGE;
        }
    }

    private static void showHelp(
            com.github.rvesse.airline.Cli<BenchCommand> commands,
            List<String> arguments,
            PrintStream out) {
        List<String> words =
                arguments.stream().filter(word -> !HELP_WORDS.contains(word)).limit(1).toList();
        try {
            Help.help(commands.getMetadata(), words, out);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
