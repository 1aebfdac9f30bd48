package org.foxtailridge.clients.engine;

/** A running stream of tokens. */
public interface CompletionStream {
    /** Asks for one more token. */
    void demand();

    /** Closes the connection; the listener hears {@code onBroken} unless the stream has ended. */
    void abort();
}
