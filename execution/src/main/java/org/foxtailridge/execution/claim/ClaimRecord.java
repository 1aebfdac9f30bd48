package org.foxtailridge.execution.claim;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One record of the stream {@code claims}.
 *
 * @param format version of the record format
 * @param type what the record says
 * @param id unique identifier of the record; for a claim the identifier of the claim
 * @param claim identifier of the claim that a release or outcome belongs to
 * @param key digest of client account and idempotency key
 * @param fingerprint digest of the request, of a claim
 * @param status HTTP status code, of an answered outcome
 * @param headers headers, of an answered outcome
 * @param body body, of an answered outcome whose body was kept
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
@JsonIgnoreProperties(ignoreUnknown = true)
record ClaimRecord(
        @JsonProperty("format") int format,
        @JsonProperty("type") Type type,
        @JsonProperty("id") String id,
        @JsonProperty("claim") String claim,
        @JsonProperty("key") String key,
        @JsonProperty("fingerprint") String fingerprint,
        @JsonProperty("status") Integer status,
        @JsonProperty("headers") List<CallOutcome.Header> headers,
        @JsonProperty("body") byte[] body) {
    static final int FORMAT = 1;

    static ClaimRecord claim(String id, String key, String fingerprint) {
        return new ClaimRecord(FORMAT, Type.CLAIM, id, null, key, fingerprint, null, null, null);
    }

    static ClaimRecord release(String claim, String key) {
        String id = claim + "-release";
        return new ClaimRecord(FORMAT, Type.RELEASE, id, claim, key, null, null, null, null);
    }

    static ClaimRecord unknown(String claim, String key) {
        String id = claim + "-outcome";
        return new ClaimRecord(FORMAT, Type.UNKNOWN, id, claim, key, null, null, null, null);
    }

    /** Returns an outcome record; an answer above the bound is left out but for its status. */
    static ClaimRecord answered(
            String claim, String key, CallOutcome.Answered answer, int maximumAnswerBytes) {
        boolean kept = answer.bytes() <= maximumAnswerBytes;
        return new ClaimRecord(
                FORMAT,
                Type.ANSWERED,
                claim + "-outcome",
                claim,
                key,
                null,
                answer.status(),
                kept ? answer.headers() : null,
                kept ? answer.body() : null);
    }

    /** Returns this outcome without the answer. */
    ClaimRecord withoutAnswer() {
        return new ClaimRecord(format, type, id, claim, key, fingerprint, status, null, null);
    }

    /** Returns whether an answer is kept. */
    boolean hasAnswer() {
        return body != null && headers != null;
    }

    /** Returns the bytes of the answer that is kept. */
    long answerBytes() {
        return hasAnswer() ? new CallOutcome.Answered(status, headers, body).bytes() : 0;
    }

    /** What a record says. */
    enum Type {
        /** A node takes on the call, if no earlier claim of the key stands. */
        @JsonProperty("claim")
        CLAIM,
        /** The call of a claim was not dispatched and will not be; the next claim may win. */
        @JsonProperty("release")
        RELEASE,
        /** The call of a claim was answered. */
        @JsonProperty("answered")
        ANSWERED,
        /** The call of a claim may have run. */
        @JsonProperty("unknown")
        UNKNOWN
    }
}
