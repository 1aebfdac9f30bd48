package org.foxtailridge.configuration.check;

import org.foxtailridge.configuration.model.Configuration;

/** One check of a whole configuration. */
interface ConfigurationCheck {
    void check(Configuration configuration, ProblemSink problems);
}
