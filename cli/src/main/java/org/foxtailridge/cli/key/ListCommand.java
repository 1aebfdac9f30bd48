package org.foxtailridge.cli.key;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import java.util.stream.Collectors;
import org.foxtailridge.cli.configuration.EditOptions;
import org.foxtailridge.cli.configuration.PublishedState;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.Configuration;

/** Lists the identifiers of keys; the keys themselves are kept nowhere. */
@Command(name = "list", description = "Lists the identifiers of keys and their client accounts")
public final class ListCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private EditOptions mEdit = new EditOptions();

    @Option(name = "--account", title = "NAME", description = "Only keys of this client account")
    private String mAccount;

    @Override
    public ExitCode run(Terminal terminal) {
        try (Connection connection = Connection.open(mCommon.timeout())) {
            Configuration configuration =
                    new PublishedState(connection.log(mEdit.log())).read().configuration();
            List<ListedKey> keys =
                    configuration.all(CallerKey.class).stream()
                            .filter(k -> mAccount == null || k.clientAccount().equals(mAccount))
                            .map(key -> new ListedKey(key.name(), key.clientAccount()))
                            .toList();
            ListedKeys listed = new ListedKeys(configuration.offset(), keys);
            mCommon.output().print(terminal, listed, listed::toText);
            return ExitCode.OK;
        }
    }

    private record ListedKey(String identifier, String clientAccount) {}

    private record ListedKeys(long offset, List<ListedKey> keys) {
        private String toText() {
            return keys.stream()
                    .map(key -> key.identifier + "  " + key.clientAccount)
                    .collect(Collectors.joining("\n"));
        }
    }
}
