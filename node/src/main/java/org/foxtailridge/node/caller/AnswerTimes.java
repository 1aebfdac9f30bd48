package org.foxtailridge.node.caller;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.foxtailridge.node.metrics.NodeMetrics;

/** Times the tokens of one answer. */
final class AnswerTimes {
    private final Clock mClock;
    private final NodeMetrics mMetrics;
    private final String mModel;
    private final Instant mBegan;
    private Instant mLastToken;
    private Duration mFirstToken = Duration.ZERO;
    private Duration mLongestGap = Duration.ZERO;

    AnswerTimes(Clock clock, NodeMetrics metrics, String model) {
        mClock = clock;
        mMetrics = metrics;
        mModel = model;
        mBegan = clock.instant();
    }

    /** Notes a token. */
    void token() {
        Instant now = mClock.instant();
        if (mLastToken == null) {
            mFirstToken = Duration.between(mBegan, now);
            mMetrics.firstToken(mModel, mFirstToken);
        } else {
            Duration gap = Duration.between(mLastToken, now);
            mLongestGap = gap.compareTo(mLongestGap) > 0 ? gap : mLongestGap;
            mMetrics.betweenTokens(mModel, gap);
        }
        mLastToken = now;
    }

    Instant began() {
        return mBegan;
    }

    Duration firstToken() {
        return mFirstToken;
    }

    Duration longestGap() {
        return mLongestGap;
    }

    Duration elapsed() {
        return Duration.between(mBegan, mClock.instant());
    }
}
