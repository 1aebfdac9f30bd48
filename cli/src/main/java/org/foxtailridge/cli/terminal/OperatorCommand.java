package org.foxtailridge.cli.terminal;

/** A command whose options have been set. */
public interface OperatorCommand {
    /**
     * Runs the command.
     *
     * @param terminal where it writes and waits
     * @return the exit code of the process
     * @throws org.foxtailridge.core.error.FoxtailridgeException if it fails; its kind decides the
     *     exit code
     */
    ExitCode run(Terminal terminal);
}
