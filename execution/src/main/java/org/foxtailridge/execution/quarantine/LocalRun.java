package org.foxtailridge.execution.quarantine;

/** An attempt of this node, from the ask to the end that its home node has received. */
final class LocalRun {
    private final String mRunId;
    private final Fingerprint mFingerprint;
    private final long mAskedMilliseconds;
    private State mState = State.ASKING;
    private EndpointStart mEndpoint;
    private EndpointStart mLost;
    private final boolean mDoubtful;
    private boolean mFinished;
    private boolean mRegistered;
    private boolean mAsked;
    private boolean mAnswered;
    private long mEndedMilliseconds;
    private long mNextSendMilliseconds;
    private long mDoubtEndsMilliseconds;

    LocalRun(String runId, Fingerprint fingerprint, boolean doubtful, long now) {
        mRunId = runId;
        mFingerprint = fingerprint;
        mDoubtful = doubtful;
        mAskedMilliseconds = now;
    }

    String runId() {
        return mRunId;
    }

    Fingerprint fingerprint() {
        return mFingerprint;
    }

    State state() {
        return mState;
    }

    boolean isDoubtful() {
        return mDoubtful;
    }

    boolean finished() {
        return mFinished;
    }

    EndpointStart lost() {
        return mLost;
    }

    boolean isRegistered() {
        return mRegistered;
    }

    boolean askedFor(long milliseconds, long now) {
        return now - mAskedMilliseconds >= milliseconds;
    }

    /** Returns whether its home node was asked, so that it has to learn of the end. */
    boolean wasAsked() {
        return mAsked;
    }

    void asked() {
        mAsked = true;
    }

    /** Returns whether its home node has answered at all. */
    boolean wasAnswered() {
        return mAnswered;
    }

    void answered() {
        mAnswered = true;
    }

    void run(boolean registered) {
        mState = State.RUNNING;
        mRegistered = registered;
    }

    void beganOn(EndpointStart endpoint) {
        mEndpoint = endpoint;
    }

    boolean isOn(EndpointStart endpoint) {
        boolean begun = mState == State.RUNNING || mState == State.DOUBTFUL;
        return begun && endpoint.equals(mEndpoint);
    }

    void doubt(long untilMilliseconds) {
        mState = State.DOUBTFUL;
        mDoubtEndsMilliseconds = untilMilliseconds;
    }

    boolean doubtIsOver(long now) {
        return mState == State.DOUBTFUL && now >= mDoubtEndsMilliseconds;
    }

    boolean endedFor(long milliseconds, long now) {
        return now - mEndedMilliseconds >= milliseconds;
    }

    void end(boolean finished, EndpointStart lost, long now) {
        mEndedMilliseconds = now;
        mState = State.ENDING;
        mFinished = finished;
        mLost = lost;
        mNextSendMilliseconds = 0;
    }

    boolean isDueToSend(long now) {
        return now >= mNextSendMilliseconds;
    }

    void sent(long nextMilliseconds) {
        mNextSendMilliseconds = nextMilliseconds;
    }

    /** Where an attempt stands. */
    enum State {
        /** Its home node has not answered. */
        ASKING,
        /** Permitted. */
        RUNNING,
        /** Failed; its endpoint may turn out dead. */
        DOUBTFUL,
        /** Ended; its home node has not received the end. */
        ENDING
    }
}
