package org.foxtailridge.forwarding.stream;

/** Source of the records that a follower read. */
public enum StreamSource {
    /** The platform's log. */
    LOG,
    /** Another node. */
    PEER
}
