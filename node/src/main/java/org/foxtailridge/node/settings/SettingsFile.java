package org.foxtailridge.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * Reads settings strictly: an unknown key or a bad value is refused with file, line and key.
 *
 * <pre>{@code
 * SettingsFile file = SettingsFile.parse("node.toml", text, NodeSettings.ALL);
 * }</pre>
 */
final class SettingsFile {
    private final Map<String, Object> mValues;

    private SettingsFile(Map<String, Object> values) {
        mValues = Map.copyOf(values);
    }

    static SettingsFile read(Path path, List<Setting> settings) {
        try {
            return parse(path.toString(), Files.readString(path), settings);
        } catch (IOException failure) {
            throw SettingsException.unreadable(path.toString(), failure.getClass().getSimpleName());
        }
    }

    static SettingsFile parse(String name, String text, List<Setting> settings) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError error = toml.errors().get(0);
            throw SettingsException.syntax(name, error.position().line(), error.getMessage());
        }
        refuseUnknownKeys(name, toml, settings);
        Map<String, Object> values = new HashMap<>();
        for (Setting setting : settings) {
            values.put(setting.key(), valueOf(name, toml, setting));
        }
        return new SettingsFile(values);
    }

    long number(Setting setting) {
        return (Long) mValues.get(setting.key());
    }

    double decimal(Setting setting) {
        return ((Number) mValues.get(setting.key())).doubleValue();
    }

    String text(Setting setting) {
        return (String) mValues.get(setting.key());
    }

    boolean flag(Setting setting) {
        return (Boolean) mValues.get(setting.key());
    }

    private static void refuseUnknownKeys(
            String name, TomlParseResult toml, List<Setting> settings) {
        for (String key : toml.dottedKeySet()) {
            if (settings.stream().noneMatch(setting -> setting.key().equals(key))) {
                String allowed =
                        settings.stream().map(Setting::key).collect(Collectors.joining(", "));
                throw SettingsException.unknownKey(name, lineOf(toml, key), key, allowed);
            }
        }
    }

    private static Object valueOf(String name, TomlParseResult toml, Setting setting) {
        Object value = toml.get(setting.key());
        if (value == null && setting.isRequired()) {
            throw SettingsException.missing(name, setting);
        }
        if (value == null) {
            return setting.defaultValue();
        }
        if (!isAllowed(setting, value)) {
            throw SettingsException.badValue(name, lineOf(toml, setting.key()), setting, value);
        }
        return value;
    }

    private static boolean isAllowed(Setting setting, Object value) {
        return switch (setting.type()) {
            case NUMBER ->
                    value instanceof Long number
                            && number >= setting.minimum()
                            && number <= setting.maximum();
            case DECIMAL ->
                    value instanceof Number number
                            && number.doubleValue() >= setting.minimum()
                            && number.doubleValue() <= setting.maximum();
            case TEXT -> value instanceof String;
            case FLAG -> value instanceof Boolean;
        };
    }

    private static int lineOf(TomlParseResult toml, String key) {
        TomlPosition position = toml.inputPositionOf(key);
        return position == null ? 0 : position.line();
    }
}
