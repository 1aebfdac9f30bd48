package org.foxtailridge.forwarding.http;

/** Whether an answer is to the request of an exchange. */
public enum AnswerMatch {
    /** It is the answer to this request. */
    OWN,
    /** It is a late answer to another request; the own one may follow. */
    OTHER_REQUEST,
    /** It does not state the request that it answers, and may be to any earlier one. */
    UNIDENTIFIED
}
