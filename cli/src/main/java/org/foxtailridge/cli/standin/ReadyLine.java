package org.foxtailridge.cli.standin;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.foxtailridge.cli.terminal.ExitCode;
import org.foxtailridge.cli.terminal.Terminal;
import org.foxtailridge.standins.server.Json;

/**
 * The line that a stand-in prints once it takes connections.
 *
 * @param event always {@code ready}
 * @param address base address
 */
record ReadyLine(String event, String address) {
    /** Prints the line, then runs the stand-in until the process is asked to stop. */
    static ExitCode printAndRun(Terminal terminal, URI address, AutoCloseable standin) {
        byte[] line = Json.write(new ReadyLine("ready", address.toString()));
        terminal.out().println(new String(line, StandardCharsets.UTF_8));
        terminal.out().flush();
        terminal.awaitStop(standin);
        return ExitCode.OK;
    }
}
