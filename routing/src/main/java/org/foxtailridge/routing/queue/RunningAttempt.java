package org.foxtailridge.routing.queue;

import org.foxtailridge.routing.Attempt;

/** An attempt that the scheduler has sent out. */
final class RunningAttempt {
    private final long mNumber;
    private final Attempt mAttempt;
    private final QueuedRequest mQueued;
    private String mPreemptedFor;

    RunningAttempt(long number, Attempt attempt, QueuedRequest queued) {
        mNumber = number;
        mAttempt = attempt;
        mQueued = queued;
    }

    long number() {
        return mNumber;
    }

    Attempt attempt() {
        return mAttempt;
    }

    QueuedRequest queued() {
        return mQueued;
    }

    /** Returns the target that it gives way to, null when it doesn't. */
    String preemptedFor() {
        return mPreemptedFor;
    }

    void preemptFor(String target) {
        mPreemptedFor = target;
    }
}
