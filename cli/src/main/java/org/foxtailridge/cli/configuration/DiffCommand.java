package org.foxtailridge.cli.configuration;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.stream.Collectors;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.list.ListDifference;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.record.Change;

/** Shows what publishing a list file would change. */
@Command(name = "diff", description = "Shows what publishing a list file would change")
public final class DiffCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private EditOptions mEdit = new EditOptions();

    @Required
    @Arguments(title = "FILE", description = "List file in TOML")
    private String mFile;

    @Override
    public ExitCode run(Terminal terminal) {
        Configuration listed = ListFiles.read(mFile).require();
        try (Connection connection = Connection.open(mCommon.timeout())) {
            ConfigurationState state = new PublishedState(connection.log(mEdit.log())).read();
            List<ShownChange> changes =
                    ListDifference.between(state, listed).changes().stream()
                            .map(DiffCommand::shown)
                            .toList();
            Difference difference = new Difference(state.offset(), changes);
            mCommon.output().print(terminal, difference, difference::toText);
            return ExitCode.OK;
        }
    }

    private static ShownChange shown(Change change) {
        String action = change.base() == Change.NO_VERSION ? "add" : "change";
        return new ShownChange(
                change.value().isEmpty() ? "remove" : action,
                change.key().kind().wireName(),
                change.key().name());
    }

    private record Difference(long offset, List<ShownChange> changes) {
        private String toText() {
            if (changes.isEmpty()) {
                return "no difference as of offset " + offset;
            }
            return changes.stream()
                    .map(change -> change.action + " " + change.kind + " " + change.name)
                    .collect(Collectors.joining("\n"));
        }
    }

    private record ShownChange(String action, String kind, String name) {}
}
