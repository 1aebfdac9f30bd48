package org.foxtailridge.node;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/**
 * Sets up the log of a node on the platform: JSON lines on standard output, through a queue that
 * never holds a request up.
 *
 * <p>Built in code and not read from a file: finding and parsing a file takes as long as a third of
 * the rest of a node's start, and nodes start often.
 */
final class PlatformLogging {
    private static final String CONSOLE = "console";
    private static final String QUEUED = "queued";
    private static final int QUEUED_LINES = 4_096;
    private static final int END_MILLISECONDS = 200;

    private PlatformLogging() {}

    /** Starts the log; before anything asks for a logger. */
    static void start() {
        ConfigurationBuilder<BuiltConfiguration> builder =
                ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setStatusLevel(Level.WARN);
        builder.setShutdownHook("disable");
        builder.add(console(builder));
        builder.add(queued(builder));
        builder.add(builder.newLogger("io.netty", Level.WARN));
        builder.add(builder.newRootLogger(Level.INFO).add(builder.newAppenderRef(QUEUED)));
        Configurator.initialize(builder.build(false));
    }

    private static AppenderComponentBuilder console(ConfigurationBuilder<?> builder) {
        return builder.newAppender(CONSOLE, "Console")
                .addAttribute("target", "SYSTEM_OUT")
                .add(
                        builder.newLayout("JsonTemplateLayout")
                                .addAttribute(
                                        "eventTemplateUri",
                                        "classpath:foxtailridge-platform-log.json"));
    }

    /** Returns the queue; a full one drops lines below warnings. */
    private static AppenderComponentBuilder queued(ConfigurationBuilder<?> builder) {
        return builder.newAppender(QUEUED, "Async")
                .addAttribute("bufferSize", QUEUED_LINES)
                .addAttribute("blocking", false)
                .addAttribute("shutdownTimeout", END_MILLISECONDS)
                .addComponent(builder.newAppenderRef(CONSOLE));
    }
}
