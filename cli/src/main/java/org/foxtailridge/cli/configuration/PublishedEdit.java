package org.foxtailridge.cli.configuration;

import java.util.List;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.record.EditOutcome;

/**
 * Result of publishing.
 *
 * @param edit identifier of the edit; null when nothing had to change
 * @param offset offset at which it is in force
 * @param changes number of entries changed
 * @param notInForceOn nodes that have not reported it in force
 */
public record PublishedEdit(String edit, long offset, int changes, List<String> notInForceOn) {
    /** Returns the result of an edit that is in force in the log. */
    public static PublishedEdit of(EditOutcome outcome, int changes, List<String> missing) {
        return new PublishedEdit(outcome.id(), outcome.offset(), changes, missing);
    }

    /** Prints the result and returns its exit code. */
    public ExitCode print(Terminal terminal, CommonOptions options) {
        options.output().print(terminal, this, this::toText);
        return notInForceOn.isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
    }

    private String toText() {
        if (edit == null) {
            return "nothing to change as of offset " + offset;
        }
        String text = "published " + changes + " changes as edit " + edit + " at offset " + offset;
        return notInForceOn.isEmpty()
                ? text
                : text + "\nnot reported in force by: " + String.join(", ", notInForceOn);
    }
}
