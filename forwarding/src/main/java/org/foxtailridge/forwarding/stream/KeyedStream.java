package org.foxtailridge.forwarding.stream;

/** The streams whose newest record of each key the log keeps. */
public enum KeyedStream {
    /** What operators publish. */
    CONFIGURATION,
    /** What endpoints say of themselves. */
    ENDPOINTS,
    /** What nodes say of themselves. */
    NODES
}
