package org.foxtailridge.cli.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.clients.log.LogPage;
import org.foxtailridge.clients.log.LogRecord;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Reads the state that the stream {@code configuration} leads to, as every node folds it. */
public final class PublishedState {
    /** Name of the stream. */
    public static final String STREAM = "configuration";

    private static final int PAGE_RECORDS = 500;

    private final LogService mLog;

    /** Creates a reader of a log. */
    public PublishedState(LogService log) {
        mLog = Objects.requireNonNull(log, "log");
    }

    /**
     * Returns the state at the end of the log.
     *
     * @throws org.foxtailridge.clients.log.LogUnavailableException when the log does not answer
     * @throws SnapshotMissingException when records are gone and no snapshot stands for them
     */
    public ConfigurationState read() {
        List<LogRecord> records = new ArrayList<>();
        LogPage page = page(0);
        long firstRetained = page.firstRetained();
        while (!page.records().isEmpty()) {
            records.addAll(page.records());
            page = page(page.next());
        }
        return foldAll(records, firstRetained);
    }

    private LogPage page(long from) {
        try {
            return mLog.read(STREAM, from, PAGE_RECORDS, Duration.ZERO).join();
        } catch (RuntimeException failure) {
            throw FoxtailridgeException.from(failure);
        }
    }

    private static ConfigurationState foldAll(List<LogRecord> records, long firstRetained) {
        ConfigurationFold fold =
                firstRetained == 0
                        ? ConfigurationFold.create()
                        : ConfigurationFold.from(start(records, firstRetained));
        for (LogRecord record : records) {
            if (record.offset() > fold.state().offset()) {
                fold.apply(record.offset(), record.payload());
            }
        }
        return fold.state();
    }

    private static ConfigurationState start(List<LogRecord> records, long firstRetained) {
        return records.stream()
                .map(r -> ConfigurationFold.startAt(r.offset(), r.payload(), firstRetained))
                .flatMap(Optional::stream)
                .findFirst()
                .orElseThrow(() -> new SnapshotMissingException(firstRetained));
    }
}
