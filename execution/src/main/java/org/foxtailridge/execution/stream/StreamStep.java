package org.foxtailridge.execution.stream;

import org.foxtailridge.core.error.ErrorKind;

/** What to do after an event of a stream. */
public sealed interface StreamStep {
    /**
     * Send a token to the caller.
     *
     * @param index number of the token in the whole answer, from 0
     * @param text text of the token
     */
    record Deliver(int index, String text) implements StreamStep {}

    /** Ignore the event. */
    record Drop(Reason reason) implements StreamStep {}

    /** Send the caller the end of a whole answer, with its finish reason. */
    record Complete(String finishReason) implements StreamStep {}

    /**
     * Ask the same engine to continue the attempt.
     *
     * @param attemptId identifier of the attempt
     * @param lastIndex number of the last token that arrived, in the attempt; -1 for none
     */
    record ResumeSameEngine(String attemptId, int lastIndex) implements StreamStep {}

    /**
     * Start a new attempt on another engine whose prompt ends in the text so far.
     *
     * @param text text of the answer so far
     * @param tokens tokens of the answer so far
     */
    record ResumeOtherEngine(String text, int tokens) implements StreamStep {}

    /** Send the caller an error event and end the stream. */
    record Fail(ErrorKind kind) implements StreamStep {}

    /** Why an event is ignored. */
    enum Reason {
        /** It belongs to another request. */
        OTHER_REQUEST,
        /** It belongs to an attempt that was replaced. */
        STALE_ATTEMPT,
        /** The token has been delivered before. */
        DUPLICATE,
        /** The stream has ended. */
        ENDED
    }
}
