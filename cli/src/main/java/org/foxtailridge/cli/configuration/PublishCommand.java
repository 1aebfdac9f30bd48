package org.foxtailridge.cli.configuration;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.list.ListDifference;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;

/** Publishes the difference between a list file and what is in force, as one edit. */
@Command(
        name = "publish",
        description = "Publishes a list file as one edit; exit code 4 when another edit came first")
public final class PublishCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private EditOptions mEdit = new EditOptions();
    @AirlineModule private WaitOptions mWait = new WaitOptions();

    @Required
    @Arguments(title = "FILE", description = "List file in TOML")
    private String mFile;

    @Override
    public ExitCode run(Terminal terminal) {
        Configuration listed = ListFiles.read(mFile).require();
        try (Connection connection = Connection.open(mCommon.timeout())) {
            LogService log = connection.log(mEdit.log());
            ConfigurationState state = new PublishedState(log).read();
            Optional<Edit> edit =
                    ListDifference.between(state, listed).toEdit(mEdit.newEditId(), mEdit.author());
            if (edit.isEmpty()) {
                return new PublishedEdit(null, state.offset(), 0, List.of())
                        .print(terminal, mCommon);
            }
            EditOutcome outcome = new EditPublisher(log, terminal).publish(edit.get());
            List<String> missing = mWait.missingAfterWait(connection, terminal, outcome.offset());
            return PublishedEdit.of(outcome, edit.get().changes().size(), missing)
                    .print(terminal, mCommon);
        }
    }
}
