package org.foxtailridge.core.error;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/**
 * A failure with a kind from the closed list.
 *
 * <p>A subclass for each sort of failure owns its message and shows what was expected and what was
 * found. Futures complete exceptionally with this type.
 */
public class FoxtailridgeException extends RuntimeException {
    private final ErrorKind mKind;
    private final OptionalInt mRetryAfterSeconds;

    /**
     * Creates a failure.
     *
     * @param kind kind from the closed list
     * @param message text for the caller; holds no key and no prompt
     */
    public FoxtailridgeException(ErrorKind kind, String message) {
        this(kind, message, OptionalInt.empty());
    }

    /**
     * Creates a failure that says when to retry.
     *
     * @param kind kind from the closed list
     * @param message text for the caller; holds no key and no prompt
     * @param retryAfterSeconds seconds after which a retry may succeed, empty for the table's value
     */
    public FoxtailridgeException(ErrorKind kind, String message, OptionalInt retryAfterSeconds) {
        super(Objects.requireNonNull(message, "message"));
        mKind = Objects.requireNonNull(kind, "kind");
        mRetryAfterSeconds = Objects.requireNonNull(retryAfterSeconds, "retryAfterSeconds");
    }

    /** Returns the kind of this failure. */
    public ErrorKind kind() {
        return mKind;
    }

    /**
     * Returns the answer of the table, with this failure's own {@code Retry-After} if it has one.
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
     * Returns the failure inside the wrappers of futures, or an {@link ErrorKind#INTERNAL} failure
     * for any other throwable.
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
