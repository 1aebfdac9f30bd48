package org.foxtailridge.forwarding.http;

/** Is told what a caller does while its request is answered. */
public interface CallerListener {
    /** The caller has closed its connection. */
    void disconnected();

    /** Whether the caller takes more bytes has changed. */
    void writabilityChanged(boolean writable);
}
