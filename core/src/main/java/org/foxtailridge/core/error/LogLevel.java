package org.foxtailridge.core.error;

/** Level at which failures of one kind are logged. */
public enum LogLevel {
    /** Expected in normal operation; the caller can correct the request. */
    DEBUG,
    /** Relevant to operators, although the system works as intended. */
    INFO,
    /** The system could not serve a request that it should serve. */
    WARN,
    /** A defect of the system itself. */
    ERROR
}
