package org.foxtailridge.bench.routing;

import java.util.List;
import org.foxtailridge.routing.PromptPrefix;

/** One attempt on a fake engine. */
final class EngineWork {
    private final long mNumber;
    private final int mPriority;
    private final Journey mJourney;
    private final int mPromptTokens;
    private final int mMaximumTokens;
    private final Listener mListener;
    private int mPromptRemaining;
    private int mMemoryTokens;
    private int mPlanned = -1;
    private int mTokens;

    EngineWork(long number, int priority, Journey journey, Listener listener) {
        mNumber = number;
        mPriority = priority;
        mJourney = journey;
        mPromptTokens = journey.promptTokens() + journey.delivered();
        mMaximumTokens = journey.maximumTokens() - journey.delivered();
        mListener = listener;
        mPromptRemaining = mPromptTokens;
    }

    long number() {
        return mNumber;
    }

    int priority() {
        return mPriority;
    }

    Journey journey() {
        return mJourney;
    }

    int tokens() {
        return mTokens;
    }

    List<PromptPrefix> prefixes() {
        return mJourney.prefixes();
    }

    int promptRemaining() {
        return mPromptRemaining;
    }

    int memoryTokens() {
        return mMemoryTokens;
    }

    int memoryNeeded(int cachedTokens) {
        return mPromptTokens - cachedTokens + mMaximumTokens;
    }

    void begin(int cachedTokens, int memoryTokens) {
        mPromptRemaining = Math.max(1, mPromptTokens - cachedTokens);
        mMemoryTokens = memoryTokens;
    }

    /** Plans the prompt tokens of the next step; returns how many. */
    int plan(int available) {
        mPlanned = Math.min(available, mPromptRemaining);
        return mPlanned;
    }

    /** Applies the step; returns whether it yields a token. */
    boolean apply() {
        if (mPlanned < 0) {
            return false;
        }
        mPromptRemaining -= mPlanned;
        mPlanned = -1;
        return mPromptRemaining == 0;
    }

    /** Yields a token; returns whether it is the last. */
    boolean token() {
        mTokens++;
        return mListener.token(this);
    }

    void lost() {
        mListener.lost(this);
    }

    /** Receives what an engine sends for one attempt. */
    interface Listener {
        /** Takes in a token; returns whether the answer is whole. */
        boolean token(EngineWork work);

        /** Takes in that the engine died. */
        void lost(EngineWork work);
    }
}
