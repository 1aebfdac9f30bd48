package org.foxtailridge.cli.explain;

import java.util.List;

/** What a history is about; knows which lines belong to it. */
interface Subject {
    /** Returns what it is called in messages, such as {@code request 9c41}. */
    String description();

    /**
     * Returns the lines that belong to it.
     *
     * @param lines all lines in the order of their times
     */
    List<LogLine> select(List<LogLine> lines);
}
