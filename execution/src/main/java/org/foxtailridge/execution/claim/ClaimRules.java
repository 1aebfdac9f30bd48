package org.foxtailridge.execution.claim;

/** The rules that the promise rests on; tests replace single rules to see that each is needed. */
class ClaimRules {
    /** Returns whether a call waits for its claim to be read back before it is dispatched. */
    boolean claimsBeforeDispatch() {
        return true;
    }

    /** Returns whether a claim that won may still lead to a dispatch. */
    boolean mayDispatch(boolean callWaits, long nowMilliseconds, long validUntilMilliseconds) {
        return callWaits && nowMilliseconds < validUntilMilliseconds;
    }

    /** Returns whether a claim whose append had no answer is appended again. */
    boolean appendsLostClaimsAgain() {
        return false;
    }

    /** Returns whether a claim wins against the entry that stands. */
    boolean wins(KeyEntry standing) {
        return standing == null || standing.state() == KeyEntry.State.RELEASED;
    }
}
