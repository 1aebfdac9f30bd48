package org.foxtailridge.routing.internal;

import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.routing.Attempt;

/** Attempts in flight, each counted once on its endpoint. */
public final class InFlightAttempts {
    private final Map<String, InFlight> mAttempts = new HashMap<>();

    /** Counts an attempt; does nothing when it is counted already. */
    public void start(InFlight inFlight) {
        Attempt attempt = inFlight.mAttempt;
        if (mAttempts.putIfAbsent(attempt.attemptId(), inFlight) == null) {
            inFlight.mEntry.started(
                    inFlight.mStartedMilliseconds,
                    inFlight.mPromptTokens,
                    attempt.request().isIsolated());
        }
    }

    /** Notes the first token; returns null when it is known or the attempt isn't. */
    public InFlight firstToken(String attemptId) {
        InFlight inFlight = mAttempts.get(attemptId);
        if (inFlight == null || inFlight.mFirstToken) {
            return null;
        }
        inFlight.mFirstToken = true;
        inFlight.mEntry.promptComputed(inFlight.mPromptTokens);
        return inFlight;
    }

    /** Returns an attempt in flight, null when it isn't counted. */
    public InFlight find(String attemptId) {
        return mAttempts.get(attemptId);
    }

    /** Ends the count of an attempt; returns null when it isn't counted. */
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
         * @param promptTokens prompt tokens that the endpoint is thought to compute
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

        /** Returns the attempt. */
        public Attempt attempt() {
            return mAttempt;
        }

        /** Returns the endpoint that it runs on. */
        public EndpointEntry entry() {
            return mEntry;
        }

        /** Returns when it started, in milliseconds since the epoch. */
        public long startedMilliseconds() {
            return mStartedMilliseconds;
        }

        /** Returns the expected time to the first token, in milliseconds. */
        public double expectedMilliseconds() {
            return mExpectedMilliseconds;
        }

        /** Returns the prompt tokens that the endpoint is thought to compute. */
        public int promptTokens() {
            return mPromptTokens;
        }
    }
}
