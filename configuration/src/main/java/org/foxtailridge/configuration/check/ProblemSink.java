package org.foxtailridge.configuration.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKey;

/** Collects problems. */
final class ProblemSink {
    private final List<Problem> mProblems = new ArrayList<>();

    List<Problem> problems() {
        return List.copyOf(mProblems);
    }

    void add(ProblemKind kind, ConfigurationEntry entry, String field, String message) {
        mProblems.add(new Problem(kind, EntryKey.of(entry), field, message));
    }

    void requireAtLeast(ConfigurationEntry entry, String field, double minimum, double actual) {
        if (!(actual >= minimum)) {
            add(
                    ProblemKind.OUT_OF_RANGE,
                    entry,
                    field,
                    "expected at least " + text(minimum) + " but was " + text(actual));
        }
    }

    void requireAbove(ConfigurationEntry entry, String field, double bound, double actual) {
        if (!(actual > bound)) {
            add(
                    ProblemKind.OUT_OF_RANGE,
                    entry,
                    field,
                    "expected more than " + text(bound) + " but was " + text(actual));
        }
    }

    void requireListed(
            ConfigurationEntry entry, String field, String what, String name, Collection<?> names) {
        if (!names.contains(name)) {
            add(
                    ProblemKind.NOT_LISTED,
                    entry,
                    field,
                    "expected a listed " + what + " but was \"" + name + "\"");
        }
    }

    private static String text(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            return Long.toString((long) value);
        }
        return Double.toString(value);
    }
}
