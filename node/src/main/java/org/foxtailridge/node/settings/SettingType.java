package org.foxtailridge.node.settings;

/** Types of values in the settings file. */
public enum SettingType {
    /** A whole number. */
    NUMBER,
    /** A number with or without a fraction. */
    DECIMAL,
    /** A text. */
    TEXT,
    /** True or false. */
    FLAG
}
