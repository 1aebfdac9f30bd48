package org.foxtailridge.endtoend.harness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.eclipse.jetty.client.HttpClient;
import org.foxtailridge.clients.http.HttpClients;
import org.foxtailridge.clients.log.HttpLogService;
import org.foxtailridge.clients.log.LogRecord;
import org.foxtailridge.configuration.fold.ConfigurationFold;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;
import org.foxtailridge.configuration.record.RecordCodec;

/** Publishes edits to the log as the command line does. */
public final class Operator implements AutoCloseable {
    private static final String STREAM = "configuration";
    private static final int PAGE_RECORDS = 1000;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient mClient = HttpClients.start("operator", 8, 8, TIMEOUT);
    private final HttpLogService mLog;
    private final ConfigurationFold mFold = ConfigurationFold.create();

    Operator(String logAddress) {
        mLog = new HttpLogService(mClient, logAddress, TIMEOUT);
    }

    /** Sets entries and returns the offset of the record. */
    public long set(ConfigurationEntry... entries) {
        catchUp();
        List<Change> changes = new ArrayList<>();
        for (ConfigurationEntry entry : entries) {
            long base = mFold.state().versionOf(keyOf(EntryKind.of(entry), entry.name()));
            changes.add(Change.set(entry, base));
        }
        return publish(changes);
    }

    /** Removes an entry and returns the offset of the record. */
    public long remove(EntryKind kind, String name) {
        catchUp();
        EntryKey key = keyOf(kind, name);
        return publish(List.of(Change.remove(key, mFold.state().versionOf(key))));
    }

    /** Returns the configuration as of the last edit of this operator. */
    public Configuration configuration() {
        return mFold.state().configuration();
    }

    private long publish(List<Change> changes) {
        Edit edit = new Edit(UUID.randomUUID().toString(), "test", changes);
        mLog.append(STREAM, List.of(RecordCodec.write(edit))).join();
        catchUp();
        EditOutcome outcome = mFold.state().outcomeOf(edit.id()).orElseThrow();
        outcome.failure()
                .ifPresent(
                        failure -> {
                            throw failure;
                        });
        return outcome.offset();
    }

    private static EntryKey keyOf(EntryKind kind, String name) {
        return new EntryKey(kind, name);
    }

    private void catchUp() {
        long from = mFold.state().offset() + 1;
        for (LogRecord record :
                mLog.read(STREAM, from, PAGE_RECORDS, Duration.ZERO).join().records()) {
            mFold.apply(record.offset(), record.payload());
        }
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
    }
}
