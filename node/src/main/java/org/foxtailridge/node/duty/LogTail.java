package org.foxtailridge.node.duty;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.thread.DutyThread;

/**
 * Reads a stream of the log page by page, for as long as the duty runs; a failed read is tried
 * again.
 *
 * <pre>{@code
 * LogTail.of("claims", log, thread, timer).from(keeper::nextOffset).to(this::onPage).start();
 * }</pre>
 */
final class LogTail {
    private static final Logger LOGGER = LogManager.getLogger(LogTail.class);
    private static final int PAGE_RECORDS = 1000;
    private static final Duration WAIT = Duration.ofSeconds(5);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final String mStream;
    private final LogService mLog;
    private final DutyThread mThread;
    private final DutyTimer mTimer;
    private LongSupplier mNextOffset;
    private Consumer<LogPage> mReceiver;

    private LogTail(String stream, LogService log, DutyThread thread, DutyTimer timer) {
        mStream = stream;
        mLog = log;
        mThread = thread;
        mTimer = timer;
    }

    /** Returns a reader of the stream whose calls come on the thread of the duty. */
    static LogTail of(String stream, LogService log, DutyThread thread, DutyTimer timer) {
        return new LogTail(stream, log, thread, timer);
    }

    /** Sets where the next read begins. */
    LogTail from(LongSupplier nextOffset) {
        mNextOffset = nextOffset;
        return this;
    }

    /** Sets what takes each page; it moves the next offset past the page. */
    LogTail to(Consumer<LogPage> receiver) {
        mReceiver = receiver;
        return this;
    }

    /** Begins to read. */
    void start() {
        mTimer.offerSurely(mThread, this::read);
    }

    private void read() {
        mLog.read(mStream, mNextOffset.getAsLong(), PAGE_RECORDS, WAIT)
                .whenComplete(
                        (page, failure) ->
                                mTimer.offerSurely(mThread, () -> onPage(page, failure)));
    }

    private void onPage(LogPage page, Throwable failure) {
        if (failure != null) {
            LOGGER.warn("{}", FoxtailridgeException.from(failure).getMessage());
            mTimer.after(RETRY_DELAY, this::start);
            return;
        }
        mReceiver.accept(page);
        read();
    }
}
