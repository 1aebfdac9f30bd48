package org.foxtailridge.forwarding.http;

/** What the head of an endpoint's answer says. */
public enum AnswerOutcome {
    /** The endpoint ran the request with success. */
    SUCCESS,
    /** The endpoint ran the request, without success; another endpoint might succeed. */
    FAILURE,
    /** The endpoint ran the request and found it wrong; so would any other. */
    REJECTION,
    /** The endpoint did not run the request and won't. */
    NOT_RUN,
    /** The endpoint has no room and did not run the request. */
    FULL,
    /** The endpoint is another one than was meant, and did not run the request. */
    WRONG_ENDPOINT,
    /** The answer does not come from an endpoint that ran the request as asked. */
    UNRECOGNISED
}
