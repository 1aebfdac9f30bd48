package org.foxtailridge.bench.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.annotations.restrictions.RequiredOnlyIf;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;
import org.foxtailridge.bench.Comparisons;
import org.foxtailridge.bench.ResultsFile;

/** Runs comparisons, prints their tables and appends their rows to a file. */
@Command(name = "run", description = "Runs comparisons and prints their tables")
public final class RunCommand implements BenchCommand {
    @Required
    @Arguments(title = "NAME", description = "Names of comparisons, as printed by list")
    private List<String> mNames = new ArrayList<>();

    @Option(name = "--seed", title = "N", description = "Seed of random numbers (default 1)")
    private long mSeed = 1;

    @Option(name = "--results", title = "FILE", description = "File that gets a line for each row")
    private String mResults = "";

    @RequiredOnlyIf(names = "--results")
    @Option(name = "--date", title = "DATE", description = "Date of the lines, as 2026-12-31")
    private String mDate = "";

    @RequiredOnlyIf(names = "--results")
    @Option(name = "--commit", title = "ID", description = "Commit of the lines")
    private String mCommit = "";

    @Override
    public void run(PrintStream out) {
        List<Comparison> comparisons = mNames.stream().map(Comparisons::named).toList();
        for (Comparison comparison : comparisons) {
            ComparisonTable table = comparison.run(mSeed);
            out.println(table.toText());
            if (!mResults.isEmpty()) {
                new ResultsFile(Path.of(mResults))
                        .append(mDate, mCommit, mSeed, comparison.name(), table);
            }
        }
    }
}
