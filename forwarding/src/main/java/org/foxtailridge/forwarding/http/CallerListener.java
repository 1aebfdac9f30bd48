package org.foxtailridge.forwarding.http;

/** Listener for a caller's connection while its request is in flight. */
public interface CallerListener {
    /** The connection was closed, so that the answer can't be delivered. */
    void disconnected();

    /** The write buffer became full, or accepts bytes again. */
    void writabilityChanged(boolean writable);
}
