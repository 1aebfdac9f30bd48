package org.foxtailridge.forwarding.request;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;

/** Receives each decision of a {@link RequestStateMachine}, for logs and metrics. */
public interface RequestListener {
    /**
     * Called when an attempt is sent.
     *
     * @param resolved the request
     * @param endpoint endpoint of the attempt
     * @param endpointsTried endpoints that the request was sent to so far, this one included
     */
    void sent(ResolvedRequest resolved, EndpointName endpoint, int endpointsTried);

    /**
     * Called when an attempt has failed.
     *
     * @param resolved the request
     * @param endpoint endpoint of the attempt
     * @param failure why it failed
     * @param willRetry whether another attempt follows
     */
    void attemptFailed(
            ResolvedRequest resolved,
            EndpointName endpoint,
            AttemptFailure failure,
            boolean willRetry);

    /** Called when the complete answer of an endpoint has arrived. */
    void answered(ResolvedRequest resolved, EndpointName endpoint);

    /**
     * Called when the request ends without a successful answer.
     *
     * @param resolved the request
     * @param phase phase in which it ended
     * @param kind error reported to the caller
     * @param mayHaveRun whether an endpoint may have run the request
     * @param hasBufferedAnswer whether an endpoint's own error answer is available
     */
    void failed(
            ResolvedRequest resolved,
            RequestPhase phase,
            ErrorKind kind,
            boolean mayHaveRun,
            boolean hasBufferedAnswer);

    /** Called when the caller has disconnected before the request ended. */
    void callerLeft(ResolvedRequest resolved, RequestPhase phase);
}
