package org.foxtailridge.protocol;

/** Versions of the inner protocol. */
public final class ProtocolVersion {
    /** Version that this build writes. */
    public static final int CURRENT = 1;

    /** Oldest version that this build reads. */
    public static final int OLDEST_READABLE = 1;

    private ProtocolVersion() {}
}
