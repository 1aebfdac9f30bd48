package org.foxtailridge.execution.claim;

import java.util.List;
import org.foxtailridge.core.error.FoxtailridgeException;

/** What the node is to do next. */
public sealed interface ClaimDecision {
    /**
     * Append these payloads to the stream {@code claims} in one append, and report how it ended.
     *
     * @param append number of the append, for {@link ClaimKeeper#appendEnded}
     * @param payloads payloads in order
     */
    record Append(long append, List<String> payloads) implements ClaimDecision {
        /** Copies the payloads. */
        public Append {
            payloads = List.copyOf(payloads);
        }
    }

    /**
     * Dispatch the call to one endpoint, once, and report how it ended.
     *
     * @param call id of the call
     */
    record Dispatch(long call) implements ClaimDecision {}

    /**
     * Answer the call with the answer of the first call with its key.
     *
     * @param call id of the call
     * @param answer answer of the first call
     */
    record AnswerWith(long call, CallOutcome.Answered answer) implements ClaimDecision {}

    /**
     * Refuse the call; it is not dispatched, now or later.
     *
     * @param call id of the call
     * @param reason failure to answer with
     */
    record Refuse(long call, FoxtailridgeException reason) implements ClaimDecision {}
}
