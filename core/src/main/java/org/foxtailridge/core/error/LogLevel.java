package org.foxtailridge.core.error;

/** Level at which a failure of a kind is logged. */
public enum LogLevel {
    /** Expected in normal operation; the caller can mend it. */
    DEBUG,
    /** Worth seeing in the log of a healthy system. */
    INFO,
    /** The system could not serve what it should serve. */
    WARN,
    /** A defect of the system itself. */
    ERROR
}
