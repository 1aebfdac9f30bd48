package org.foxtailridge.configuration.check;

import java.util.List;
import java.util.stream.Collectors;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A configuration has problems and may not come into force. */
public final class ConfigurationInvalidException extends FoxtailridgeException {
    private final transient List<Problem> mProblems;

    ConfigurationInvalidException(List<Problem> problems) {
        super(
                ErrorKind.CONFIGURATION_INVALID,
                problems.stream().map(Problem::toString).collect(Collectors.joining("; ")));
        mProblems = List.copyOf(problems);
    }

    public List<Problem> problems() {
        return mProblems;
    }
}
