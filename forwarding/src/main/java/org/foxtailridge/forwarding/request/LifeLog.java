package org.foxtailridge.forwarding.request;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;

/** Is told of each decision about a request, for the log and the counters. */
public interface LifeLog {
    /** An attempt was sent. */
    void sent(RequestTerms terms, EndpointName endpoint, int endpointsTried);

    /** An attempt failed. */
    void attemptFailed(
            RequestTerms terms, EndpointName endpoint, AttemptFailure failure, boolean again);

    /** The whole answer has come. */
    void answered(RequestTerms terms, EndpointName endpoint);

    /** The request ends without an endpoint's success. */
    void failed(
            RequestTerms terms,
            RequestPhase phase,
            ErrorKind kind,
            boolean mayHaveRun,
            boolean keptAnswer);

    /** The caller left before the end. */
    void callerLeft(RequestTerms terms, RequestPhase phase);
}
