package org.foxtailridge.node;

import org.apache.logging.log4j.core.config.Configurator;

/**
 * Sets up the log of a node on the platform: JSON lines on standard output, through a queue that
 * never holds a request up.
 *
 * <p>Built in code and not read from a file: finding and parsing a file takes as long as a third of
 * the rest of a node's start, and nodes start often.
 */
final class PlatformLogging {
    private PlatformLogging() {}

    /** Starts the log; before anything asks for a logger. */
    static void start() {
        Configurator.initialize(PlatformLogging.class.getClassLoader(), new NodeLogConfiguration());
    }
}
