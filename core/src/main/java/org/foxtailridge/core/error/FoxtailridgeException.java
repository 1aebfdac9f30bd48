package org.foxtailridge.core.error;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/**
 * Failure with an {@link ErrorKind}. Futures complete exceptionally with this type.
 *
 * <p>Subclasses build their own message, which states what was expected and what was found.
 */
public class FoxtailridgeException extends RuntimeException {
    private final ErrorKind mKind;
    private final OptionalInt mRetryAfterSeconds;

    /**
     * Creates a failure with the {@code Retry-After} of the table.
     *
     * @param kind kind of the failure
     * @param message text for the caller; it must not contain a key or a prompt
     */
    public FoxtailridgeException(ErrorKind kind, String message) {
        this(kind, message, OptionalInt.empty());
    }

    /**
     * Creates a failure with its own {@code Retry-After}.
     *
     * @param kind kind of the failure
     * @param message text for the caller; it must not contain a key or a prompt
     * @param retryAfterSeconds seconds after which a retry may succeed; empty for the value of the
     *     table
     */
    public FoxtailridgeException(ErrorKind kind, String message, OptionalInt retryAfterSeconds) {
        super(Objects.requireNonNull(message, "message"));
        mKind = Objects.requireNonNull(kind, "kind");
        mRetryAfterSeconds = Objects.requireNonNull(retryAfterSeconds, "retryAfterSeconds");
    }

    public ErrorKind kind() {
        return mKind;
    }

    /**
     * Returns the answer of the table, with the failure's own {@code Retry-After} if it has one.
     */
    public ErrorAnswer answer() {
        ErrorAnswer answer = ErrorTable.answerTo(mKind);
        if (mRetryAfterSeconds.isEmpty()) {
            return answer;
        }
        return new ErrorAnswer(
                answer.status(), answer.executionStarted(), mRetryAfterSeconds, answer.level());
    }

    /**
     * Unwraps the exceptions of futures. Returns the failure itself, or an {@link
     * ErrorKind#INTERNAL} failure with the throwable as its cause if it has another type.
     */
    public static FoxtailridgeException from(Throwable throwable) {
        Throwable current = throwable;
        while (isWrapper(current) && current.getCause() != null) {
            current = current.getCause();
        }
        if (current instanceof FoxtailridgeException failure) {
            return failure;
        }
        FoxtailridgeException internal =
                new FoxtailridgeException(
                        ErrorKind.INTERNAL, "unexpected " + current.getClass().getSimpleName());
        internal.initCause(current);
        return internal;
    }

    private static boolean isWrapper(Throwable throwable) {
        return throwable instanceof CompletionException || throwable instanceof ExecutionException;
    }
}
