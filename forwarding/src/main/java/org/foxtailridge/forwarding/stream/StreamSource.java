package org.foxtailridge.forwarding.stream;

/** Where records were read. */
public enum StreamSource {
    /** The platform's log. */
    LOG,
    /** Another node. */
    PEER
}
