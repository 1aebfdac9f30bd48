package org.foxtailridge.cli.terminal;

import java.io.PrintStream;
import java.time.Clock;
import java.time.Duration;

/** Where a command writes, and how it waits. */
public interface Terminal {
    /** Returns the stream of results. */
    PrintStream out();

    /** Returns the stream of messages to the operator. */
    PrintStream err();

    /** Returns the clock. */
    Clock clock();

    /** Returns whether progress may be shown, because messages go to a terminal. */
    boolean showsProgress();

    /** Waits for a time before the next try. */
    void pause(Duration duration);

    /** Waits until the process is asked to stop, then closes what is running. */
    void awaitStop(AutoCloseable running);
}
