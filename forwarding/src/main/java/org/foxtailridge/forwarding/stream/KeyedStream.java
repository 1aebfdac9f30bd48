package org.foxtailridge.forwarding.stream;

/** Keyed streams of the platform's log, which keeps the newest record of each key. */
public enum KeyedStream {
    /** Configurations that operators publish. */
    CONFIGURATION,
    /** Announcements that endpoints write of themselves. */
    ENDPOINTS,
    /** Records that nodes write of themselves. */
    NODES
}
