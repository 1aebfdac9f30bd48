package org.foxtailridge.cli.key;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.foxtailridge.cli.configuration.EditOptions;
import org.foxtailridge.cli.configuration.EditPublisher;
import org.foxtailridge.cli.configuration.PublishedEdit;
import org.foxtailridge.cli.configuration.PublishedState;
import org.foxtailridge.cli.configuration.WaitOptions;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.platform.OptionException;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.key.KeyHashing;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;

/** Withdraws a key. */
@Command(
        name = "withdraw",
        description = "Withdraws a key; requests that run with it are ended within seconds")
public final class WithdrawCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private EditOptions mEdit = new EditOptions();
    @AirlineModule private WaitOptions mWait = new WaitOptions();

    @Required
    @Arguments(
            title = "IDENTIFIER",
            description = "Identifier of the key as key list shows it, or the key itself")
    private String mKey;

    @Override
    public ExitCode run(Terminal terminal) {
        String identifier = KeyHashing.identifierOf(mKey).orElse(mKey);
        EntryKey entry = new EntryKey(EntryKind.KEY, identifier);
        try (Connection connection = Connection.open(mCommon.timeout())) {
            LogService log = connection.log(mEdit.log());
            ConfigurationState state = new PublishedState(log).read();
            if (state.versionOf(entry) == Change.NO_VERSION) {
                throw new OptionException("the identifier of a listed key", "an unknown one");
            }
            List<Change> changes = List.of(Change.remove(entry, state.versionOf(entry)));
            Edit edit = new Edit(mEdit.newEditId(), mEdit.author(), changes);
            EditOutcome outcome = new EditPublisher(log, terminal).publish(edit);
            List<String> missing = mWait.missingAfterWait(connection, terminal, outcome.offset());
            return PublishedEdit.of(outcome, 1, missing).print(terminal, mCommon);
        }
    }
}
