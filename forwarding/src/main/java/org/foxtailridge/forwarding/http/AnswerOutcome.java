package org.foxtailridge.forwarding.http;

/** Outcome of an attempt as the head of the endpoint's answer states it. */
public enum AnswerOutcome {
    /** The endpoint ran the request successfully. */
    SUCCESS,
    /** The endpoint ran the request and failed; another endpoint might succeed. */
    FAILURE,
    /** The endpoint rejected the request as invalid; any other endpoint would do the same. */
    REJECTION,
    /** The endpoint did not run the request and will not run it later. */
    NOT_RUN,
    /** The endpoint has no free capacity and did not run the request. */
    FULL,
    /** The address belongs to another endpoint than intended, which did not run the request. */
    WRONG_ENDPOINT,
    /** The answer can't be attributed to an endpoint that ran the request as sent. */
    UNRECOGNISED
}
