package org.foxtailridge.node.duty;

import org.foxtailridge.execution.claim.CallOutcome;

/** What to do with a call that was claimed. */
public sealed interface ClaimVerdict {
    /**
     * Dispatch it once, and report how that ended.
     *
     * @param call number of the call, for the report
     */
    record Dispatch(long call) implements ClaimVerdict {}

    /**
     * Answer with the answer of the first call with its key.
     *
     * @param answer the answer
     */
    record AnswerWith(CallOutcome.Answered answer) implements ClaimVerdict {}
}
