package org.foxtailridge.cli.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.cli.platform.Connection;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.list.ListRenderer;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.record.EntryJson;

/** Shows what is in force as a list file. */
@Command(name = "show", description = "Shows what is in force by the log, as a list file")
public final class ShowCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();
    @AirlineModule private EditOptions mEdit = new EditOptions();

    @Override
    public ExitCode run(Terminal terminal) {
        try (Connection connection = Connection.open(mCommon.timeout())) {
            Configuration configuration =
                    new PublishedState(connection.log(mEdit.log())).read().configuration();
            Shown shown = new Shown(configuration.offset(), entries(configuration));
            mCommon.output().print(terminal, shown, () -> textOf(configuration));
            return ExitCode.OK;
        }
    }

    private static String textOf(Configuration configuration) {
        return "# In force as of offset "
                + configuration.offset()
                + "\n\n"
                + ListRenderer.render(configuration);
    }

    private static List<ShownEntry> entries(Configuration configuration) {
        List<ShownEntry> entries = new ArrayList<>();
        for (EntryKind kind : EntryKind.values()) {
            configuration
                    .entries(kind)
                    .forEach(
                            entry ->
                                    entries.add(
                                            new ShownEntry(
                                                    kind.wireName(), EntryJson.write(entry))));
        }
        return entries;
    }

    private record Shown(long offset, List<ShownEntry> entries) {}

    private record ShownEntry(String kind, ObjectNode entry) {}
}
