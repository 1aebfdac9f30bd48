package org.foxtailridge.configuration.list;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.configuration.check.ConfigurationChecks;
import org.foxtailridge.configuration.check.Problem;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.EntryKey;

/**
 * The operators' lists, read from a TOML file.
 *
 * <p>Tables are {@code [[plan]]}, {@code [[client_account]]}, {@code [[model]]}, {@code
 * [[adapter]]}, {@code [[endpoint]]}, {@code [[service]]} with {@code [[service.route]]}, {@code
 * [[objective]]}, {@code [[key]]} and {@code [weight_store]}. An unknown key, a value of a wrong
 * type and a second entry of the same name are refused with file, line, key and what is allowed.
 *
 * <pre>{@code
 * ConfigurationList list = ConfigurationList.read("lists.toml", text);
 * list.require(); // throws ListInvalidException with the lines of all problems
 * Edit edit = ListDifference.between(state, list.configuration()).toEdit(id, author).get();
 * }</pre>
 */
public final class ConfigurationList {
    private final String mFile;
    private final Configuration mConfiguration;
    private final Map<EntryKey, Integer> mLines;

    ConfigurationList(String file, Configuration configuration, Map<EntryKey, Integer> lines) {
        mFile = file;
        mConfiguration = configuration;
        mLines = Map.copyOf(lines);
    }

    /**
     * Reads a list file.
     *
     * @param file name of the file, for messages
     * @param text contents of the file
     * @throws ListInvalidException when it is not TOML or has unknown keys or wrong types
     */
    public static ConfigurationList read(String file, String text) {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(text, "text");
        return new ListReader(file).read(text);
    }

    /** Returns the listed entries; the offset is -1. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the problems of the listed entries in the order of their lines. */
    public List<ListProblem> problems() {
        return ConfigurationChecks.check(mConfiguration).stream()
                .map(this::located)
                .sorted(Comparator.comparingInt(ListProblem::line))
                .toList();
    }

    /**
     * Returns the listed entries if they have no problem.
     *
     * @throws ListInvalidException if they have one
     */
    public Configuration require() {
        List<ListProblem> problems = problems();
        if (!problems.isEmpty()) {
            throw new ListInvalidException(problems);
        }
        return mConfiguration;
    }

    private ListProblem located(Problem problem) {
        int line = mLines.getOrDefault(problem.entry(), 1);
        return new ListProblem(
                mFile, line, problem.entry() + ", " + problem.field(), problem.message());
    }
}
