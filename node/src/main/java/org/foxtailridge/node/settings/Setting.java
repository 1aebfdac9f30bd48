package org.foxtailridge.node.settings;

import java.util.Objects;

/**
 * One key of the settings file.
 *
 * @param key dotted key, for example {@code callers.port}
 * @param type type of its value
 * @param unit unit of its value, or a hyphen
 * @param defaultValue value when the key is left out; null when it must be given
 * @param minimum smallest allowed number; ignored for other types
 * @param maximum largest allowed number; ignored for other types
 * @param meaning what it does
 */
public record Setting(
        String key,
        SettingType type,
        String unit,
        Object defaultValue,
        long minimum,
        long maximum,
        String meaning) {
    private static final String NO_UNIT = "-";

    /** Checks the parts. */
    public Setting {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(meaning, "meaning");
    }

    static Setting requiredText(String key, String meaning) {
        return new Setting(key, SettingType.TEXT, NO_UNIT, null, 0, 0, meaning);
    }

    static Setting text(String key, String defaultValue, String meaning) {
        return new Setting(key, SettingType.TEXT, NO_UNIT, defaultValue, 0, 0, meaning);
    }

    static Setting flag(String key, boolean defaultValue, String meaning) {
        return new Setting(key, SettingType.FLAG, NO_UNIT, defaultValue, 0, 0, meaning);
    }

    static Setting number(
            String key,
            String unit,
            long defaultValue,
            long minimum,
            long maximum,
            String meaning) {
        return new Setting(key, SettingType.NUMBER, unit, defaultValue, minimum, maximum, meaning);
    }

    static Setting decimal(
            String key,
            String unit,
            double defaultValue,
            long minimum,
            long maximum,
            String meaning) {
        return new Setting(key, SettingType.DECIMAL, unit, defaultValue, minimum, maximum, meaning);
    }

    /** Returns what values are allowed, as text. */
    public String allowed() {
        return switch (type) {
            case NUMBER -> "a whole number from " + minimum + " to " + maximum;
            case DECIMAL -> "a number from " + minimum + " to " + maximum;
            case FLAG -> "true or false";
            case TEXT -> "a text in quotes";
        };
    }

    /** Returns whether the file must give the key. */
    public boolean isRequired() {
        return defaultValue == null;
    }
}
