package org.foxtailridge.routing.queue;

import org.foxtailridge.routing.Attempt;

/** An attempt that the scheduler dispatched and whose end has not been reported. */
final class RunningAttempt {
    private final long mNumber;
    private final Attempt mAttempt;
    private final QueuedRequest mQueued;
    private final long mStartedMilliseconds;
    private String mPreemptedFor;
    private long mFirstTokenMilliseconds = -1;

    RunningAttempt(long number, Attempt attempt, QueuedRequest queued, long startedMilliseconds) {
        mStartedMilliseconds = startedMilliseconds;
        mNumber = number;
        mAttempt = attempt;
        mQueued = queued;
    }

    /** Returns the number of the attempt, which grows in the order of dispatch. */
    long number() {
        return mNumber;
    }

    Attempt attempt() {
        return mAttempt;
    }

    QueuedRequest queued() {
        return mQueued;
    }

    boolean hasRunFor(long milliseconds, long now) {
        return now - mStartedMilliseconds >= milliseconds;
    }

    void recordFirstToken(long now) {
        if (mFirstTokenMilliseconds < 0) {
            mFirstTokenMilliseconds = now;
        }
    }

    boolean hasFirstToken() {
        return mFirstTokenMilliseconds >= 0;
    }

    /** Returns the mean time between tokens, in milliseconds; 0 with fewer than 2 tokens. */
    double meanMillisecondsBetweenTokens(int tokens, long now) {
        if (mFirstTokenMilliseconds < 0 || tokens < 2) {
            return 0;
        }
        return (double) (now - mFirstTokenMilliseconds) / (tokens - 1);
    }

    /** Returns the model or service that it is preempted for, null when it isn't preempted. */
    String preemptedFor() {
        return mPreemptedFor;
    }

    void markPreemptedFor(String target) {
        mPreemptedFor = target;
    }
}
