package org.foxtailridge.forwarding.request;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;

/** Is told of each decision about a request, for the log and the counters. */
public interface RequestListener {
    /** An attempt was sent. */
    void sent(ResolvedRequest terms, EndpointName endpoint, int endpointsTried);

    /** An attempt failed. */
    void attemptFailed(
            ResolvedRequest terms, EndpointName endpoint, AttemptFailure failure, boolean again);

    /** The whole answer has come. */
    void answered(ResolvedRequest terms, EndpointName endpoint);

    /** The request ends without an endpoint's success. */
    void failed(
            ResolvedRequest terms,
            RequestPhase phase,
            ErrorKind kind,
            boolean mayHaveRun,
            boolean keptAnswer);

    /** The caller left before the end. */
    void callerLeft(ResolvedRequest terms, RequestPhase phase);
}
