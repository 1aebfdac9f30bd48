package org.foxtailridge.execution.stream;

import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.core.error.ErrorKind;

/**
 * The answer to one request, over one or more attempts.
 *
 * <p>Delivers each token once and in order. Events of other requests and of replaced attempts are
 * dropped. A stream is complete only after a token with a finish reason; anything else that ends it
 * leads to a resumption or to an explicit failure. Confined to one thread.
 *
 * <pre>{@code
 * AnswerStream stream =
 *         AnswerStream.builder("request-1").mayRepeatElsewhere(true).maximumResumes(3).build();
 * stream.attemptBegan("attempt-1");
 * switch (stream.tokenArrived(event)) {
 *     case StreamStep.Deliver deliver -> caller.send(deliver.text());
 *     case StreamStep.Drop drop -> dropped.increment();
 *     // A gap in the numbers: close the connection and follow the step.
 *     case StreamStep.ResumeSameEngine resume -> engine.resume(resume);
 *     ...
 * }
 * stream.ended("attempt-1");           // "data: [DONE]" leads to Complete or to a resumption
 * stream.connectionLost("attempt-1");
 * stream.attemptUnknown("attempt-1");  // 404 of the engine when asked to continue
 * }</pre>
 */
public final class AnswerStream {
    private final String mRequestId;
    private final boolean mMayRepeatElsewhere;
    private final int mMaximumResumes;
    private final int mMaximumKeptCharacters;
    private final StreamRules mRules;
    private final StringBuilder mText = new StringBuilder();
    private boolean mTextKept = true;
    private String mAttemptId = "";
    private int mFirstIndex;
    private int mDelivered;
    private int mResumes;
    private Optional<String> mFinishReason = Optional.empty();
    private boolean mOver;

    private AnswerStream(Builder builder) {
        mRequestId = builder.mRequestId;
        mMayRepeatElsewhere = builder.mMayRepeatElsewhere;
        mMaximumResumes = builder.mMaximumResumes;
        mMaximumKeptCharacters = builder.mMaximumKeptCharacters;
        mRules = builder.mRules;
    }

    /** Returns a builder for the answer to a request. */
    public static Builder builder(String requestId) {
        return new Builder(requestId);
    }

    /** Notes that a new attempt was sent; events of earlier ones are stale from now on. */
    public void attemptBegan(String attemptId) {
        mAttemptId = Objects.requireNonNull(attemptId, "attemptId");
        mFirstIndex = mRules.firstIndexOf(mDelivered);
    }

    /** Takes in a token. */
    public StreamStep tokenArrived(TokenEvent event) {
        if (mOver) {
            return new StreamStep.Drop(StreamStep.Reason.ENDED);
        }
        if (!mRules.isSameRequest(mRequestId, event.requestId())) {
            return new StreamStep.Drop(StreamStep.Reason.OTHER_REQUEST);
        }
        if (!mRules.isCurrentAttempt(mAttemptId, event.attemptId())) {
            return new StreamStep.Drop(StreamStep.Reason.STALE_ATTEMPT);
        }
        int index = mFirstIndex + event.index();
        if (mFinishReason.isPresent() || mRules.isDuplicate(mDelivered, index)) {
            return new StreamStep.Drop(StreamStep.Reason.DUPLICATE);
        }
        if (mRules.isGap(mDelivered, index)) {
            return resumeSameEngine();
        }
        return deliver(event);
    }

    /** Takes in the end marker of an attempt's stream. */
    public StreamStep ended(String attemptId) {
        if (isStale(attemptId)) {
            return stale();
        }
        if (!mRules.isWhole(mFinishReason)) {
            return resumeSameEngine();
        }
        mOver = true;
        return new StreamStep.Complete(mFinishReason.orElse(""));
    }

    /** Takes in that the connection of an attempt broke. */
    public StreamStep connectionLost(String attemptId) {
        if (isStale(attemptId)) {
            return stale();
        }
        if (mFinishReason.isPresent()) {
            mOver = true;
            return new StreamStep.Complete(mFinishReason.get());
        }
        return resumeSameEngine();
    }

    /** Takes in that the engine of an attempt is lost or doesn't know the attempt. */
    public StreamStep attemptUnknown(String attemptId) {
        if (isStale(attemptId)) {
            return stale();
        }
        return resumeOtherEngine();
    }

    /** Ends the stream with a failure, for example because the key was withdrawn. */
    public StreamStep fail(ErrorKind kind) {
        if (mOver) {
            return new StreamStep.Drop(StreamStep.Reason.ENDED);
        }
        mOver = true;
        return new StreamStep.Fail(kind);
    }

    /** Returns the tokens delivered so far. */
    public int delivered() {
        return mDelivered;
    }

    /** Returns whether the stream was ended, whole or with a failure. */
    public boolean isOver() {
        return mOver;
    }

    private StreamStep deliver(TokenEvent event) {
        int index = mDelivered;
        mDelivered++;
        mFinishReason = event.finishReason();
        mTextKept &= mText.length() + event.text().length() <= mMaximumKeptCharacters;
        if (mTextKept) {
            mText.append(event.text());
        } else {
            mText.setLength(0);
        }
        return new StreamStep.Deliver(index, event.text());
    }

    private StreamStep resumeSameEngine() {
        if (mResumes >= mMaximumResumes) {
            return broken();
        }
        mResumes++;
        return new StreamStep.ResumeSameEngine(mAttemptId, mDelivered - mFirstIndex - 1);
    }

    private StreamStep resumeOtherEngine() {
        if (!mMayRepeatElsewhere || !mTextKept || mResumes >= mMaximumResumes) {
            return broken();
        }
        mResumes++;
        mAttemptId = "";
        return new StreamStep.ResumeOtherEngine(mText.toString(), mDelivered);
    }

    private StreamStep broken() {
        return fail(mDelivered == 0 ? ErrorKind.ENDPOINT_FAILED : ErrorKind.STREAM_BROKEN);
    }

    private boolean isStale(String attemptId) {
        return mOver || !mRules.isCurrentAttempt(mAttemptId, attemptId);
    }

    private StreamStep stale() {
        return new StreamStep.Drop(
                mOver ? StreamStep.Reason.ENDED : StreamStep.Reason.STALE_ATTEMPT);
    }

    /** Builds an {@link AnswerStream}. */
    public static final class Builder {
        private final String mRequestId;
        private boolean mMayRepeatElsewhere;
        private int mMaximumResumes = 3;
        private int mMaximumKeptCharacters = 65_536;
        private StreamRules mRules = new StreamRules();

        private Builder(String requestId) {
            mRequestId = Objects.requireNonNull(requestId, "requestId");
        }

        /** Sets whether another engine may continue the answer. */
        public Builder mayRepeatElsewhere(boolean mayRepeat) {
            mMayRepeatElsewhere = mayRepeat;
            return this;
        }

        /** Sets how often the answer may be resumed. */
        public Builder maximumResumes(int resumes) {
            mMaximumResumes = resumes;
            return this;
        }

        /** Sets the text kept for another engine, in characters. */
        public Builder maximumKeptCharacters(int characters) {
            mMaximumKeptCharacters = characters;
            return this;
        }

        Builder rules(StreamRules rules) {
            mRules = rules;
            return this;
        }

        /** Returns the stream. */
        public AnswerStream build() {
            return new AnswerStream(this);
        }
    }
}
