package org.foxtailridge.clients.engine;

/**
 * Receives a stream of tokens.
 *
 * <p>Calls come one at a time. After {@link #onToken} the next token comes only once it has been
 * demanded. Exactly one of the other methods ends the stream.
 */
public interface CompletionListener {
    /** A token arrived; {@code stream.demand()} asks for the next. */
    void onToken(CompletionStream stream, CompletionToken token);

    /** The engine said that the stream is complete. */
    void onDone();

    /**
     * The engine refused.
     *
     * @param status HTTP status
     * @param reason word that the engine gave
     * @param notStarted whether the engine said that it has not begun and won't
     */
    void onRefused(int status, String reason, boolean notStarted);

    /**
     * The stream broke off.
     *
     * @param mayHaveStarted whether the engine may have begun
     * @param cause what happened
     */
    void onBroken(boolean mayHaveStarted, Throwable cause);
}
