package org.foxtailridge.routing.internal;

import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.routing.Attempt;

/**
 * Attempts in flight by identifier, each counted once on its endpoint. Confined to the router's
 * thread.
 */
public final class InFlightAttempts {
    private final Map<String, InFlight> mAttempts = new HashMap<>();

    /** Adds an attempt and counts it on its endpoint; does nothing when it is already in flight. */
    public void start(InFlight inFlight) {
        Attempt attempt = inFlight.mAttempt;
        if (mAttempts.putIfAbsent(attempt.attemptId(), inFlight) == null) {
            inFlight.mEntry.started(
                    inFlight.mStartedMilliseconds,
                    inFlight.mPromptTokens,
                    attempt.request().isIsolated());
        }
    }

    /** Records the first token; returns null when it was recorded or the attempt is unknown. */
    public InFlight recordFirstToken(String attemptId) {
        InFlight inFlight = mAttempts.get(attemptId);
        if (inFlight == null || inFlight.mFirstToken) {
            return null;
        }
        inFlight.mFirstToken = true;
        inFlight.mEntry.promptComputed(inFlight.mPromptTokens);
        return inFlight;
    }

    /** Returns an attempt in flight, null when it is unknown. */
    public InFlight find(String attemptId) {
        return mAttempts.get(attemptId);
    }

    /** Removes an attempt and its count on the endpoint; returns null when it is unknown. */
    public InFlight end(String attemptId, long now) {
        InFlight inFlight = mAttempts.remove(attemptId);
        if (inFlight == null) {
            return null;
        }
        if (!inFlight.mFirstToken) {
            inFlight.mEntry.promptComputed(inFlight.mPromptTokens);
        }
        inFlight.mEntry.ended(now, inFlight.mAttempt.request().isIsolated());
        return inFlight;
    }

    /** Returns the number of attempts in flight. */
    public int size() {
        return mAttempts.size();
    }

    /** One attempt in flight. */
    public static final class InFlight {
        private final Attempt mAttempt;
        private final EndpointEntry mEntry;
        private final long mStartedMilliseconds;
        private final int mPromptTokens;
        private final double mExpectedMilliseconds;
        private boolean mFirstToken;

        /**
         * Creates an attempt that starts now.
         *
         * @param attempt the attempt
         * @param entry the endpoint that it runs on
         * @param now instant, in milliseconds since the epoch
         * @param promptTokens prompt tokens that the endpoint is expected to compute
         * @param expectedMilliseconds expected time to the first token, in milliseconds
         */
        public InFlight(
                Attempt attempt,
                EndpointEntry entry,
                long now,
                int promptTokens,
                double expectedMilliseconds) {
            mAttempt = attempt;
            mEntry = entry;
            mStartedMilliseconds = now;
            mPromptTokens = promptTokens;
            mExpectedMilliseconds = expectedMilliseconds;
        }

        public Attempt attempt() {
            return mAttempt;
        }

        public EndpointEntry entry() {
            return mEntry;
        }

        public long startedMilliseconds() {
            return mStartedMilliseconds;
        }

        public double expectedMilliseconds() {
            return mExpectedMilliseconds;
        }

        public int promptTokens() {
            return mPromptTokens;
        }
    }
}
