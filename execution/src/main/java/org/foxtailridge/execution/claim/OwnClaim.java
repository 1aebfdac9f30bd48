package org.foxtailridge.execution.claim;

/** A claim of this process, from the arrival of its call until its ending was read from the log. */
final class OwnClaim {
    private final String mId;
    private final String mKey;
    private final ClaimCall mCall;
    private final long mValidUntilMilliseconds;
    private State mState = State.PENDING;
    private boolean mCallWaits = true;
    private CallOutcome mOutcome;

    OwnClaim(String id, String key, ClaimCall call, long validUntilMilliseconds) {
        mId = id;
        mKey = key;
        mCall = call;
        mValidUntilMilliseconds = validUntilMilliseconds;
    }

    String id() {
        return mId;
    }

    String key() {
        return mKey;
    }

    ClaimCall call() {
        return mCall;
    }

    long validUntilMilliseconds() {
        return mValidUntilMilliseconds;
    }

    State state() {
        return mState;
    }

    boolean callWaits() {
        return mCallWaits;
    }

    void callerLeft() {
        mCallWaits = false;
    }

    void dispatched() {
        mState = State.DISPATCHED;
    }

    void ended(CallOutcome outcome) {
        mState = State.ENDED;
        mOutcome = outcome;
    }

    CallOutcome outcome() {
        return mOutcome;
    }

    /** State of a claim. */
    enum State {
        /** Not read back yet. */
        PENDING,
        /** Read back as first; the call was dispatched. */
        DISPATCHED,
        /** The call has ended; its outcome was not read back yet. */
        ENDED
    }
}
