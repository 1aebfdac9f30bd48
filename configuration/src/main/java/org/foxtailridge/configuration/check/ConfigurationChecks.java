package org.foxtailridge.configuration.check;

import java.util.List;
import org.foxtailridge.configuration.model.Configuration;

/**
 * All checks of a whole configuration.
 *
 * <pre>{@code
 * List<Problem> problems = ConfigurationChecks.check(configuration);
 * ConfigurationChecks.require(configuration); // throws when there is a problem
 * }</pre>
 */
public final class ConfigurationChecks {
    private static final List<ConfigurationCheck> CHECKS =
            List.of(
                    new NameCheck(),
                    new ReferenceCheck(),
                    new RangeCheck(),
                    new KeyCheck(),
                    new AddressCheck(),
                    new RouteCheck(),
                    new MemoryCheck());

    private ConfigurationChecks() {}

    /** Returns all problems of a configuration; none when it may come into force. */
    public static List<Problem> check(Configuration configuration) {
        ProblemSink problems = new ProblemSink();
        for (ConfigurationCheck check : CHECKS) {
            check.check(configuration, problems);
        }
        return problems.problems();
    }

    /**
     * Returns the configuration if it has no problem.
     *
     * @throws ConfigurationInvalidException if it has one
     */
    public static Configuration require(Configuration configuration) {
        List<Problem> problems = check(configuration);
        if (!problems.isEmpty()) {
            throw new ConfigurationInvalidException(problems);
        }
        return configuration;
    }
}
