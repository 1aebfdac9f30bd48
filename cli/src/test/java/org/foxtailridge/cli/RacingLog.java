package org.foxtailridge.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.cli.configuration.EditPublisher;
import org.foxtailridge.cli.configuration.PublishedState;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Two operators who withdraw the same key after both have read the same state. */
final class RacingLog {
    private final String mAddress;
    private final EntryKey mKey;
    private final List<String> mOutcomes = new ArrayList<>();

    RacingLog(String address, String identifier) {
        mAddress = address;
        mKey = new EntryKey(EntryKind.KEY, identifier);
    }

    List<String> outcomes() {
        return mOutcomes;
    }

    void withdrawTwiceFromTheSameState() {
        try (Connection connection = Connection.open(Duration.ofSeconds(5))) {
            LogService log = connection.log(mAddress);
            ConfigurationState state = new PublishedState(log).read();
            EditPublisher publisher = new EditPublisher(log, new RecordingTerminal());
            for (String author : List.of("first", "second")) {
                List<Change> changes = List.of(Change.remove(mKey, state.versionOf(mKey)));
                publish(publisher, new Edit("edit-" + author, author, changes));
            }
        }
    }

    private void publish(EditPublisher publisher, Edit edit) {
        try {
            publisher.publish(edit);
            mOutcomes.add("in force");
        } catch (FoxtailridgeException failure) {
            mOutcomes.add(failure.kind().wireName());
        }
    }
}
