package org.foxtailridge.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.routing.PromptPrefix;

/** One request of the demand and what became of it under one policy. */
final class Journey {
    static final long FIRST_TOKEN_MICROSECONDS = 550_000;
    static final long BETWEEN_TOKENS_MICROSECONDS = 45_000;
    static final long BATCH_MICROSECONDS = 60_000_000;

    private final int mNumber;
    private final long mArrival;
    private final int mAccount;
    private final String mModel;
    private final Optional<String> mAdapter;
    private final WorkClass mWorkClass;
    private final List<PromptPrefix> mPrefixes;
    private final int mPromptTokens;
    private final int mAnswerTokens;
    private final int mMaximumTokens;
    private long mFirstToken = -1;
    private long mEnd = -1;
    private int mDelivered;
    private int mTries;
    private boolean mRefused;
    private boolean mBroken;

    Journey(
            int number,
            long arrival,
            int account,
            String model,
            Optional<String> adapter,
            WorkClass workClass,
            List<PromptPrefix> prefixes,
            int promptTokens,
            int answerTokens,
            int maximumTokens) {
        mNumber = number;
        mArrival = arrival;
        mAccount = account;
        mModel = model;
        mAdapter = adapter;
        mWorkClass = workClass;
        mPrefixes = new ArrayList<>(prefixes);
        mPromptTokens = promptTokens;
        mAnswerTokens = answerTokens;
        mMaximumTokens = maximumTokens;
    }

    /** Returns the same request, as yet unserved. */
    Journey fresh() {
        return new Journey(
                mNumber,
                mArrival,
                mAccount,
                mModel,
                mAdapter,
                mWorkClass,
                mPrefixes,
                mPromptTokens,
                mAnswerTokens,
                mMaximumTokens);
    }

    int number() {
        return mNumber;
    }

    long arrival() {
        return mArrival;
    }

    int account() {
        return mAccount;
    }

    String model() {
        return mModel;
    }

    Optional<String> adapter() {
        return mAdapter;
    }

    WorkClass workClass() {
        return mWorkClass;
    }

    List<PromptPrefix> prefixes() {
        return mPrefixes;
    }

    int promptTokens() {
        return mPromptTokens;
    }

    int answerTokens() {
        return mAnswerTokens;
    }

    int maximumTokens() {
        return mMaximumTokens;
    }

    int delivered() {
        return mDelivered;
    }

    int tries() {
        return mTries;
    }

    void tried() {
        mTries++;
    }

    void token(long now) {
        if (mFirstToken < 0) {
            mFirstToken = now;
        }
        mDelivered++;
    }

    boolean isAnswered() {
        return mDelivered >= mAnswerTokens;
    }

    void end(long now) {
        mEnd = now;
    }

    void refuse() {
        mRefused = true;
    }

    void breakOff() {
        mBroken = true;
    }

    boolean isRefused() {
        return mRefused;
    }

    boolean isBroken() {
        return mBroken;
    }

    boolean isEnded() {
        return mEnd >= 0;
    }

    boolean hasFirstToken() {
        return mFirstToken >= 0;
    }

    long firstTokenMicroseconds() {
        return mFirstToken - mArrival;
    }

    /** Returns the mean time between two tokens, in microseconds. */
    long betweenTokensMicroseconds() {
        return (mEnd - mFirstToken) / Math.max(1, mAnswerTokens - 1);
    }

    boolean isInteractive() {
        return mWorkClass == WorkClass.INTERACTIVE;
    }

    /** Returns whether the request met its objective. */
    boolean isAttained() {
        if (!isEnded()) {
            return false;
        }
        if (!isInteractive()) {
            return mEnd - mArrival <= BATCH_MICROSECONDS;
        }
        return firstTokenMicroseconds() <= FIRST_TOKEN_MICROSECONDS
                && betweenTokensMicroseconds() <= BETWEEN_TOKENS_MICROSECONDS;
    }
}
