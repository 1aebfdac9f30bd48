package org.foxtailridge.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Objects;
import java.util.function.Consumer;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.forwarding.node.ForwardingSettings;
import org.foxtailridge.node.settings.ForwardingSettingsFile;

/**
 * Tells of settings that change while a node runs. A file that can't be read or is refused changes
 * nothing. Confined to one thread.
 *
 * <pre>{@code
 * SettingsWatch watch = SettingsWatch.start(path, node::reload);
 * watch.check(); // often, and at once when the node is told that the file has changed
 * }</pre>
 */
final class SettingsWatch {
    private static final Logger LOGGER = LogManager.getLogger(SettingsWatch.class);

    private final Path mFile;
    private final Consumer<ForwardingSettings> mListener;
    private byte[] mSeen;

    private SettingsWatch(Path file, Consumer<ForwardingSettings> listener, byte[] seen) {
        mFile = file;
        mListener = listener;
        mSeen = seen;
    }

    /**
     * Returns a watch that takes the file as it is now for known.
     *
     * @param file the settings file
     * @param listener told of settings that differ from those before
     */
    static SettingsWatch start(Path file, Consumer<ForwardingSettings> listener) {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(listener, "listener");
        return new SettingsWatch(file, listener, read(file));
    }

    /** Reads the file and tells of what has changed; a file is refused once only. */
    void check() {
        byte[] bytes = read(mFile);
        if (bytes.length == 0 || Arrays.equals(bytes, mSeen)) {
            // A file that is just being written may be empty for a moment.
            return;
        }
        mSeen = bytes;
        try {
            mListener.accept(ForwardingSettingsFile.read(mFile).settings());
        } catch (FoxtailridgeException | IllegalArgumentException refused) {
            LogEvent.named("settings_refused")
                    .text("file", mFile)
                    .text("reason", refused.getMessage())
                    .writeTo(LOGGER, Level.WARN);
        }
    }

    private static byte[] read(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException unreadable) {
            LOGGER.warn("settings {} can't be read: {}", file, unreadable.toString());
            return new byte[0];
        }
    }
}
