package org.foxtailridge.forwarding.request;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;

/** Ignores the events of a {@link RequestStateMachine}. */
public final class IgnoringListener implements RequestListener {
    @Override
    public void sent(ResolvedRequest resolved, EndpointName endpoint, int endpointsTried) {}

    @Override
    public void attemptFailed(
            ResolvedRequest resolved,
            EndpointName endpoint,
            AttemptFailure failure,
            boolean willRetry) {}

    @Override
    public void answered(ResolvedRequest resolved, EndpointName endpoint) {}

    @Override
    public void failed(
            ResolvedRequest resolved,
            RequestPhase phase,
            ErrorKind kind,
            boolean mayHaveRun,
            boolean hasBufferedAnswer) {}

    @Override
    public void callerLeft(ResolvedRequest resolved, RequestPhase phase) {}
}
