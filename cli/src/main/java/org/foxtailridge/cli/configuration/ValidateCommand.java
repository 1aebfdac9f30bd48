package org.foxtailridge.cli.configuration;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.configuration.list.ConfigurationList;
import org.foxtailridge.configuration.list.ListInvalidException;
import org.foxtailridge.configuration.list.ListProblem;

/** Checks a list file without publishing it. */
@Command(
        name = "validate",
        description = "Checks a list file; exit code 3 and the problems when it is invalid")
public final class ValidateCommand implements OperatorCommand {
    @AirlineModule private CommonOptions mCommon = new CommonOptions();

    @Required
    @Arguments(title = "FILE", description = "List file in TOML")
    private String mFile;

    @Override
    public ExitCode run(Terminal terminal) {
        List<ListProblem> problems = problems();
        Validation validation = new Validation(problems.isEmpty(), problems);
        mCommon.output().print(terminal, validation, validation::toText);
        return problems.isEmpty() ? ExitCode.OK : ExitCode.INVALID;
    }

    private List<ListProblem> problems() {
        try {
            ConfigurationList list = ListFiles.read(mFile);
            return list.problems();
        } catch (ListInvalidException invalid) {
            return invalid.problems();
        }
    }

    private record Validation(boolean valid, List<ListProblem> problems) {
        private String toText() {
            if (valid) {
                return "valid";
            }
            return String.join("\n", problems.stream().map(ListProblem::toString).toList());
        }
    }
}
