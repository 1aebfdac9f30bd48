package org.foxtailridge.cli.explain;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.RequireOnlyOne;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.cli.platform.OptionException;
import org.foxtailridge.cli.terminal.CommonOptions;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.OperatorCommand;
import org.foxtailridge.cli.terminal.Terminal;

/**
 * Tells the history of a request, endpoint, client account, model or duty from the lines of nodes.
 *
 * <pre>{@code
 * foxtailridge explain --request 0efaf5e0b54ccb92 node-1.log node-2.log
 * }</pre>
 */
@Command(
        name = "explain",
        description = "Tells from nodes' lines what happened; exit code 1 when no line names it")
public final class ExplainCommand implements OperatorCommand {
    private static final String ONE_SUBJECT = "subject";
    private static final String STANDARD_INPUT = "standard input";

    @AirlineModule private CommonOptions mCommon = new CommonOptions();

    @Option(name = "--request", title = "ID", description = "A request, by its caller's identifier")
    @RequireOnlyOne(tag = ONE_SUBJECT)
    private String mRequest;

    @Option(name = "--endpoint", title = "ID", description = "An endpoint, by its name")
    @RequireOnlyOne(tag = ONE_SUBJECT)
    private String mEndpoint;

    @Option(name = "--account", title = "NAME", description = "A client account")
    @RequireOnlyOne(tag = ONE_SUBJECT)
    private String mAccount;

    @Option(name = "--model", title = "NAME", description = "A model, without its service")
    @RequireOnlyOne(tag = ONE_SUBJECT)
    private String mModel;

    @Option(name = "--duty", title = "NUMBER", description = "A duty, by its partition")
    @RequireOnlyOne(tag = ONE_SUBJECT)
    private String mDuty;

    @Arguments(title = "FILE", description = "Files with nodes' lines (default standard input)")
    private List<String> mFiles = new ArrayList<>();

    @Override
    public ExitCode run(Terminal terminal) {
        LogLines lines = new LogLines();
        if (mFiles.isEmpty()) {
            lines.read(STANDARD_INPUT, new InputStreamReader(System.in, StandardCharsets.UTF_8));
        }
        mFiles.forEach(file -> read(lines, file));
        Subject subject = subject();
        List<LogLine> all = lines.inOrder();
        List<LogLine> selected = subject.select(all);
        Optional<Cause> cause =
                mRequest == null || selected.isEmpty()
                        ? Optional.empty()
                        : Optional.of(new CauseRule(all).of(selected));
        History history = History.of(subject, selected, cause, lines.unreadable());
        mCommon.output().print(terminal, history, history::toText);
        return selected.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }

    private static void read(LogLines lines, String file) {
        try (Reader reader = Files.newBufferedReader(Path.of(file), StandardCharsets.UTF_8)) {
            lines.read(file, reader);
        } catch (IOException failure) {
            throw OptionException.unreadable(file, failure);
        }
    }

    private Subject subject() {
        if (mModel != null) {
            return new ModelSubject(mModel);
        }
        if (mRequest != null) {
            return new FieldSubject("request", "request", mRequest);
        }
        if (mEndpoint != null) {
            return new FieldSubject("endpoint", "endpoint", mEndpoint);
        }
        return mAccount != null
                ? new FieldSubject("client account", "account", mAccount)
                : new FieldSubject("duty", "partition", mDuty);
    }
}
