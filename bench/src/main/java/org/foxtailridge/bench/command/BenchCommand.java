package org.foxtailridge.bench.command;

import java.io.PrintStream;

/** A command of {@link org.foxtailridge.bench.Bench}. */
public interface BenchCommand {
    /** Runs the command and writes its result. */
    void run(PrintStream out);
}
