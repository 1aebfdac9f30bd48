package org.foxtailridge.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;

/** One attempt at a request: what it asks for and how far it has come. Used by one thread. */
final class Attempt {
    /** States of an attempt. */
    enum State {
        /** Waits for room in the batch. */
        WAITING,
        /** Generates tokens. */
        RUNNING,
        /** Has generated all tokens. */
        FINISHED,
        /** Was cancelled. */
        CANCELLED,
        /** Was lost when the engine crashed. */
        FAILED;

        boolean isActive() {
            return this == WAITING || this == RUNNING;
        }

        String wireName() {
            return this == WAITING ? "running" : name().toLowerCase(Locale.ROOT);
        }
    }

    /** Receives the progress of an attempt. */
    interface Listener {
        /** Called when the attempt has more tokens or has ended. */
        void onProgress();
    }

    private static final int BUFFERED_TOKENS = 64;

    private final AttemptIds mIds;
    private final CompletionRequest mRequest;
    private final DeterministicText mText;
    private final int mPromptTokens;
    private final int mTotalTokens;
    private final boolean mStopsByItself;
    private final EngineFaults mFaults;
    private State mState = State.WAITING;
    private Listener mListener = () -> {};
    private Instant mNextTokenAt = Instant.MAX;
    private int mProduced;
    private int mDelivered;
    private long mKvBytes;

    Attempt(
            AttemptIds ids,
            CompletionRequest request,
            String version,
            int meanTokens,
            EngineFaults faults) {
        mIds = ids;
        mRequest = request;
        String prompt = request.promptText();
        mText = DeterministicText.of(request.model(), version, request.adapter(), prompt);
        mPromptTokens = DeterministicText.tokensOf(prompt);
        int natural = mText.naturalTokens(meanTokens);
        mTotalTokens = Math.min(natural, request.tokenLimit());
        mStopsByItself = natural <= request.tokenLimit();
        mFaults = faults;
    }

    AttemptIds ids() {
        return mIds;
    }

    CompletionRequest request() {
        return mRequest;
    }

    EngineFaults faults() {
        return mFaults;
    }

    int promptTokens() {
        return mPromptTokens;
    }

    State state() {
        return mState;
    }

    int produced() {
        return mProduced;
    }

    long kvBytes() {
        return mKvBytes;
    }

    Instant nextTokenAt() {
        return mNextTokenAt;
    }

    void listen(Listener listener) {
        mListener = listener;
    }

    boolean isListenedToBy(Listener listener) {
        return mListener == listener;
    }

    void start(Instant firstTokenAt, long kvBytes) {
        mState = State.RUNNING;
        mNextTokenAt = firstTokenAt;
        mKvBytes = kvBytes;
    }

    /** Returns whether the next token may be generated once its time has come. */
    boolean canProduce() {
        Integer stall = mFaults.stallAfterTokens();
        boolean stalled = stall != null && mProduced >= stall;
        return mState == State.RUNNING && !stalled && mProduced - mDelivered < BUFFERED_TOKENS;
    }

    /** Generates one token; the next is due after the pace. */
    void produce(Instant now, Duration pace) {
        mProduced++;
        Instant earliest = now.minus(pace);
        Instant from = mNextTokenAt.isBefore(earliest) ? earliest : mNextTokenAt;
        mNextTokenAt = from.plus(pace);
        if (mProduced == mTotalTokens) {
            mState = State.FINISHED;
        }
    }

    void end(State state) {
        mState = state;
    }

    void notifyListener() {
        mListener.onProgress();
    }

    /** Notes that the caller has taken all tokens before an index. */
    void delivered(int next) {
        mDelivered = Math.max(mDelivered, next);
    }

    /** Returns the answer for the token at an index. */
    CompletionAnswer tokenAnswer(int index) {
        boolean last = index == mTotalTokens - 1;
        return new CompletionAnswer(
                mIds.requestId(),
                mIds.attemptId(),
                index,
                mText.token(index),
                last ? finishReason() : null,
                last ? usage() : null);
    }

    /** Returns the whole answer of a finished attempt. */
    CompletionAnswer wholeAnswer() {
        return new CompletionAnswer(
                mIds.requestId(),
                mIds.attemptId(),
                mTotalTokens - 1,
                mText.whole(mTotalTokens),
                finishReason(),
                usage());
    }

    private String finishReason() {
        return mStopsByItself ? "stop" : "length";
    }

    private CompletionAnswer.Usage usage() {
        return new CompletionAnswer.Usage(mPromptTokens, mTotalTokens);
    }
}
