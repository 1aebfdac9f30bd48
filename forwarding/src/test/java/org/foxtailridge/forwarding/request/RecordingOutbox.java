package org.foxtailridge.forwarding.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.AttemptOutcome;

/** Records the calls of a {@link RequestStateMachine} as text, such as {@code end CANCELLED}. */
public final class RecordingOutbox implements RequestOutbox {
    private final List<String> mCalls = new ArrayList<>();

    /** Returns the calls so far, in their order. */
    public List<String> calls() {
        return List.copyOf(mCalls);
    }

    @Override
    public void reserve() {
        mCalls.add("reserve");
    }

    @Override
    public void settle(boolean mayHaveRun) {
        mCalls.add("settle");
    }

    @Override
    public void submit(Set<EndpointName> excluded, boolean mayHaveRun) {
        mCalls.add("submit");
    }

    @Override
    public void withdraw() {
        mCalls.add("withdraw");
    }

    @Override
    public void loadAdapter(EndpointName endpoint) {
        mCalls.add("load");
    }

    @Override
    public void send(EndpointName endpoint) {
        mCalls.add("send");
    }

    @Override
    public void endAttempt(AttemptOutcome outcome) {
        mCalls.add("end " + outcome);
    }

    @Override
    public void forwardBufferedAnswer() {
        mCalls.add("forward");
    }

    @Override
    public void fail(ErrorKind kind, long retryAfterMilliseconds) {
        mCalls.add("fail " + kind + " " + retryAfterMilliseconds);
    }

    @Override
    public void abort() {
        mCalls.add("abort");
    }

    @Override
    public void ended() {
        mCalls.add("ended");
    }
}
