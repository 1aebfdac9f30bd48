package org.foxtailridge.node.duty;

import java.time.Duration;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.fold.FoldResult;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.platform.log.LogPage;
import org.foxtailridge.platform.log.LogRecord;
import org.foxtailridge.platform.log.LogService;

/** Follows the stream {@code configuration} of the log and puts what it says in force. */
@Singleton
public final class ConfigurationDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(ConfigurationDuty.class);
    private static final String STREAM = "configuration";
    private static final int PAGE_RECORDS = 256;
    private static final int RING_TASKS = 1024;
    private static final Duration READ_WAIT = Duration.ofSeconds(5);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final DutyThread mThread;
    private final LogService mLog;
    private final ConfigurationView mView;
    private final DutyTimer mTimer;
    private final ConfigurationFold mFold = ConfigurationFold.create();

    /** Creates the duty and starts its thread; {@link #start} begins to read. */
    @Inject
    public ConfigurationDuty(LogService log, ConfigurationView view, DutyTimer timer) {
        mLog = log;
        mView = view;
        mTimer = timer;
        mThread = DutyThread.start("configuration", RING_TASKS);
    }

    /** Begins to read. */
    public void start() {
        mThread.offer(this::read);
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void read() {
        long next = mFold.state().offset() + 1;
        mLog.read(STREAM, next, PAGE_RECORDS, READ_WAIT)
                .whenComplete((page, failure) -> mThread.offer(() -> onPage(page, failure)));
    }

    private void onPage(LogPage page, Throwable failure) {
        if (failure != null) {
            LOGGER.warn("{}", FoxtailridgeException.from(failure).getMessage());
            mTimer.after(RETRY_DELAY, () -> mThread.offer(this::read));
            return;
        }
        for (LogRecord record : page.records()) {
            FoldResult result = mFold.apply(record.offset(), record.payload());
            result.outcome()
                    .ifPresent(
                            outcome ->
                                    LOGGER.info(
                                            "edit {} at offset {}: {}",
                                            outcome.id(),
                                            outcome.offset(),
                                            outcome.status()));
        }
        mView.advance(mFold.state().configuration());
        read();
    }
}
