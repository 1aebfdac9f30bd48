package org.foxtailridge.forwarding.http;

import java.io.IOException;
import java.nio.file.Path;

/** Starts a class of the tests as a process of its own. */
final class TestProcess {
    private TestProcess() {}

    /** Starts the main method of a class; its standard output is read through the process. */
    static Process start(Class<?> main) throws IOException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        String classes = System.getProperty("java.class.path");
        return new ProcessBuilder(java.toString(), "-cp", classes, main.getName())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
    }
}
