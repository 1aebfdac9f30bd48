package org.foxtailridge.bench.command;

import com.github.rvesse.airline.annotations.Command;
import java.io.PrintStream;
import org.foxtailridge.bench.Comparisons;

/** Prints the names of all comparisons. */
@Command(name = "list", description = "Prints the names of all comparisons")
public final class ListCommand implements BenchCommand {
    @Override
    public void run(PrintStream out) {
        Comparisons.names().forEach(out::println);
    }
}
