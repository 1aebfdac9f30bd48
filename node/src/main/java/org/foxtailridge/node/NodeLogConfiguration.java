package org.foxtailridge.node;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Configuration of the log that is made of its parts directly. The library still reads its list of
 * plugins for the default configuration, but makes none of them for this one.
 */
final class NodeLogConfiguration extends AbstractConfiguration {
    private static final String CONSOLE = "console";
    private static final String QUEUED = "queued";
    private static final String NETWORK_LIBRARY = "io.netty";
    private static final int QUEUED_LINES = 4_096;
    private static final int END_MILLISECONDS = 200;

    NodeLogConfiguration() {
        super(null, ConfigurationSource.NULL_SOURCE);
        isShutdownHookEnabled = false;
    }

    @Override
    public void initialize() {
        addAppender(
                ConsoleAppender.newBuilder()
                        .setName(CONSOLE)
                        .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                        .setLayout(new JsonLineLayout())
                        .setConfiguration(this)
                        .build());
        AsyncAppender queued = queued();
        addAppender(queued);
        getRootLogger().setLevel(Level.INFO);
        getRootLogger().addAppender(queued, null, null);
        LoggerConfig library = new LoggerConfig(NETWORK_LIBRARY, Level.WARN, true);
        library.setParent(getRootLogger());
        addLogger(NETWORK_LIBRARY, library);
        setState(State.INITIALIZED);
    }

    /** Returns the queue; a full one drops lines and holds nothing up. */
    private AsyncAppender queued() {
        return AsyncAppender.newBuilder()
                .setName(QUEUED)
                .setBufferSize(QUEUED_LINES)
                .setBlocking(false)
                .setShutdownTimeout(END_MILLISECONDS)
                .setAppenderRefs(
                        new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE, null, null)})
                .setConfiguration(this)
                .build();
    }
}
