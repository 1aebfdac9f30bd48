package org.foxtailridge.cli.terminal;

/** Exit codes of the command line. */
public enum ExitCode {
    /** The command did what it was asked. */
    OK(0),
    /** The command failed for a reason that has no code of its own. */
    FAILED(1),
    /** The command, an option or an argument can't be read. */
    USAGE(2),
    /** The input was refused as invalid; nothing was changed. */
    INVALID(3),
    /** Another edit of the same entry came first; this one has no effect. */
    CONFLICT(4),
    /** The log service or every node could not be reached. */
    UNAVAILABLE(5),
    /** The command did only a part: some nodes could not be reached or did not report in time. */
    PARTIAL(6);

    private final int mNumber;

    ExitCode(int number) {
        mNumber = number;
    }

    /** Returns the number that the process exits with. */
    public int number() {
        return mNumber;
    }
}
