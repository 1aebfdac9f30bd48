package org.foxtailridge.node.caller;

import org.foxtailridge.clients.engine.CompletionToken;
import org.foxtailridge.clients.engine.Usage;

/** Counts the tokens of one answer over all its attempts. */
final class AnswerUsage {
    private final int mEstimatedPromptTokens;
    private int mDelivered;
    private Usage mWhole;

    AnswerUsage(int estimatedPromptTokens) {
        mEstimatedPromptTokens = estimatedPromptTokens;
    }

    /**
     * Counts a token.
     *
     * @param token token as the engine sent it
     * @param delivered tokens of the answer so far, this one included
     */
    void delivered(CompletionToken token, int delivered) {
        mDelivered = delivered;
        if (token.isLast()) {
            mWhole = new Usage(promptTokens(token.usage()), delivered);
        }
    }

    /** Returns the tokens of the whole answer; null while it is not whole. */
    Usage whole() {
        return mWhole;
    }

    /** Returns the tokens to charge: none before the first token of the answer. */
    long chargedTokens() {
        if (mWhole != null) {
            return (long) mWhole.promptTokens() + mWhole.completionTokens();
        }
        return mDelivered == 0 ? 0 : (long) mEstimatedPromptTokens + mDelivered;
    }

    /** Takes the engine's count only when one attempt gave the whole answer. */
    private int promptTokens(Usage reported) {
        boolean oneAttempt = reported != null && reported.completionTokens() == mDelivered;
        return oneAttempt ? reported.promptTokens() : mEstimatedPromptTokens;
    }
}
