package org.foxtailridge.configuration.list;

import java.util.List;
import java.util.stream.Collectors;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A list file can't be read or its configuration has problems. */
public final class ListInvalidException extends FoxtailridgeException {
    private final transient List<ListProblem> mProblems;

    ListInvalidException(List<ListProblem> problems) {
        super(
                ErrorKind.CONFIGURATION_INVALID,
                problems.stream().map(ListProblem::toString).collect(Collectors.joining("\n")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the problems in the order of their lines. */
    public List<ListProblem> problems() {
        return mProblems;
    }
}
