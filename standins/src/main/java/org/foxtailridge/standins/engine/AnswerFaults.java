package org.foxtailridge.standins.engine;

import java.util.Optional;

/** Applies the fault switches of one request to its answers. */
final class AnswerFaults {
    private static final String OTHER_REQUEST_ID = "other-request";
    private static final String OTHER_ATTEMPT_ID = "other-attempt";
    private static final String OTHER_TEXT = "crossed";

    private final EngineFaults mFaults;
    private final Optional<Attempt> mOther;

    private AnswerFaults(EngineFaults faults, Optional<Attempt> other) {
        mFaults = faults;
        mOther = other;
    }

    static AnswerFaults of(Attempt attempt, AttemptBook book) {
        boolean crossed = attempt.faults().otherAttempt();
        return new AnswerFaults(
                attempt.faults(), crossed ? book.otherThan(attempt) : Optional.empty());
    }

    static AnswerFaults none() {
        return new AnswerFaults(EngineFaults.none(), Optional.empty());
    }

    /** Returns the first token that is not sent whole. */
    int firstMissing() {
        return Math.min(cutAfter(), halfFrameAfter());
    }

    boolean endsInHalfFrame() {
        return halfFrameAfter() <= cutAfter() && mFaults.halfFrameAfterTokens() != null;
    }

    CompletionAnswer apply(CompletionAnswer answer) {
        if (!mFaults.otherAttempt()) {
            return answer;
        }
        return new CompletionAnswer(
                mOther.map(other -> other.ids().requestId()).orElse(OTHER_REQUEST_ID),
                mOther.map(other -> other.ids().attemptId()).orElse(OTHER_ATTEMPT_ID),
                answer.index(),
                mOther.map(other -> other.tokenAnswer(answer.index()).text()).orElse(OTHER_TEXT),
                answer.finishReason(),
                answer.usage());
    }

    private int cutAfter() {
        return orNever(mFaults.cutAfterTokens());
    }

    private int halfFrameAfter() {
        return orNever(mFaults.halfFrameAfterTokens());
    }

    private static int orNever(Integer tokens) {
        return tokens == null ? Integer.MAX_VALUE : tokens;
    }
}
