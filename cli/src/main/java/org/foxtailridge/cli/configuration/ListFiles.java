package org.foxtailridge.cli.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailridge.cli.platform.OptionException;
import org.foxtailridge.configuration.list.ConfigurationList;

/** Reads list files. */
public final class ListFiles {
    private ListFiles() {}

    /**
     * Returns the lists of a file.
     *
     * @throws OptionException when the file can't be read
     * @throws org.foxtailridge.configuration.list.ListInvalidException when it holds no valid lists
     */
    public static ConfigurationList read(String file) {
        try {
            return ConfigurationList.read(file, Files.readString(Path.of(file)));
        } catch (IOException failure) {
            throw OptionException.unreadable(file, failure);
        }
    }
}
