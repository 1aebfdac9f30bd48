package org.foxtailridge.cli.key;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.security.SecureRandom;
import java.util.List;
import org.foxtailridge.cli.configuration.EditOptions;
import org.foxtailridge.cli.configuration.EditPublisher;
import org.foxtailridge.cli.configuration.WaitOptions;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.key.GivenKey;
import org.foxtailridge.configuration.key.KeyGenerator;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;

/** Gives a client account a new key; only a salted hash of it is published. */
@Command(name = "give", description = "Gives a client account a new key and prints it once")
public final class GiveCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private EditOptions mEdit = new EditOptions();
    @AirlineModule private WaitOptions mWait = new WaitOptions();

    @Required
    @Option(name = "--account", title = "NAME", description = "Client account that gets the key")
    private String mAccount;

    @Override
    public ExitCode run(Terminal terminal) {
        GivenKey given = new KeyGenerator(new SecureRandom()).give(mAccount);
        List<Change> changes = List.of(Change.set(given.entry(), Change.NO_VERSION));
        Edit edit = new Edit(mEdit.newEditId(), mEdit.author(), changes);
        try (Connection connection = Connection.open(mCommon.timeout())) {
            EditOutcome outcome =
                    new EditPublisher(connection.log(mEdit.log()), terminal).publish(edit);
            List<String> missing = mWait.missingAfterWait(connection, terminal, outcome.offset());
            Given result =
                    new Given(
                            given.key(), given.entry().name(), mAccount, outcome.offset(), missing);
            mCommon.output().print(terminal, result, given::key);
            return missing.isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
        }
    }

    private record Given(
            String key,
            String identifier,
            String clientAccount,
            long offset,
            List<String> notInForceOn) {}
}
