package org.foxtailridge.configuration.record;

/** One record of the stream {@code configuration}. */
public sealed interface ConfigurationRecord permits Edit, Snapshot {
    /** Name of the stream that holds these records. */
    String STREAM = "configuration";

    /** Format that this version writes; higher ones can't be read by it. */
    int FORMAT = 1;

    /** Returns the identifier, unique among all records of the stream. */
    String id();
}
