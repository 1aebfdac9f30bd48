package org.foxtailridge.node.duty;

import org.foxtailridge.configuration.model.Configuration;

/** Hears of changes of the configuration, on the configuration duty's thread. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * The configuration in force has changed.
     *
     * @param former what was in force
     * @param current what is in force now
     */
    void onConfiguration(Configuration former, Configuration current);
}
