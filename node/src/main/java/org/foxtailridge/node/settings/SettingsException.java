package org.foxtailridge.node.settings;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A settings file holds something that is not allowed. */
public final class SettingsException extends FoxtailridgeException {
    private SettingsException(String message) {
        super(ErrorKind.CONFIGURATION_INVALID, message);
    }

    static SettingsException unreadable(String file, String reason) {
        return new SettingsException(file + ": expected a readable file but was " + reason);
    }

    static SettingsException syntax(String file, int line, String reason) {
        return new SettingsException(file + ":" + line + ": " + reason);
    }

    static SettingsException unknownKey(String file, int line, String key, String allowed) {
        return new SettingsException(
                file + ":" + line + ": unknown key " + key + "; allowed keys are " + allowed);
    }

    static SettingsException badValue(String file, int line, Setting setting, Object actual) {
        return new SettingsException(
                file
                        + ":"
                        + line
                        + ": expected "
                        + setting.key()
                        + " to be "
                        + setting.allowed()
                        + " but was "
                        + actual);
    }

    static SettingsException missing(String file, Setting setting) {
        return new SettingsException(
                file + ": expected " + setting.key() + " (" + setting.allowed() + ") but was none");
    }
}
