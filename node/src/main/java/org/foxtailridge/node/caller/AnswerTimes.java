package org.foxtailridge.node.caller;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.foxtailridge.node.metrics.NodeMetrics;
import org.foxtailridge.objectives.count.RequestOutcome;

/** Times the tokens of one answer. */
final class AnswerTimes {
    private final Clock mClock;
    private final NodeMetrics mMetrics;
    private final String mModel;
    private final Instant mBegan;
    private Instant mLastToken;
    private Duration mFirstToken = Duration.ZERO;
    private Duration mLongestGap = Duration.ZERO;
    private int mTokens;

    AnswerTimes(Clock clock, NodeMetrics metrics, String model) {
        mClock = clock;
        mMetrics = metrics;
        mModel = model;
        mBegan = clock.instant();
    }

    /** Notes a token. */
    void token() {
        Instant now = mClock.instant();
        mTokens++;
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

    /** Returns the outcome of a completion that is whole now. */
    RequestOutcome whole(String clientAccount) {
        return outcome(clientAccount, tokenTime(), Optional.of(elapsed()));
    }

    /** Returns the outcome of a call whose answer came whole now; it counts as the first token. */
    RequestOutcome wholeAtOnce(String clientAccount) {
        Optional<Duration> elapsed = Optional.of(elapsed());
        return outcome(clientAccount, elapsed, elapsed);
    }

    /** Returns the outcome of a request that failed. */
    RequestOutcome broken(String clientAccount) {
        return outcome(clientAccount, tokenTime(), Optional.empty());
    }

    private Optional<Duration> tokenTime() {
        return mTokens > 0 ? Optional.of(mFirstToken) : Optional.empty();
    }

    private RequestOutcome outcome(
            String clientAccount, Optional<Duration> firstToken, Optional<Duration> completion) {
        Optional<Duration> gap = mTokens > 1 ? Optional.of(mLongestGap) : Optional.empty();
        return new RequestOutcome(mModel, clientAccount, firstToken, gap, completion);
    }
}
