package org.foxtailridge.execution.quarantine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A record of the log stream {@code quarantine}, which outlives the nodes.
 *
 * @param format version of the record format
 * @param type {@code loss} or {@code cleared}
 * @param id unique identifier of the record
 * @param fingerprint fingerprint of the request, in hexadecimal digits
 * @param endpoint name of the endpoint that died
 * @param incarnation incarnation of the endpoint that died
 * @param atMilliseconds instant, in milliseconds since the epoch
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record QuarantineRecord(
        @JsonProperty("format") int format,
        @JsonProperty("type") String type,
        @JsonProperty("id") String id,
        @JsonProperty("fingerprint") String fingerprint,
        @JsonProperty("endpoint") String endpoint,
        @JsonProperty("incarnation") long incarnation,
        @JsonProperty("at_ms") long atMilliseconds) {
    /** Version that this class reads and writes. */
    public static final int FORMAT = 1;

    /** Type of a record that an endpoint died with the request in flight. */
    public static final String LOSS = "loss";

    /** Type of a record that the request was not to blame. */
    public static final String CLEARED = "cleared";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    static QuarantineRecord of(
            String type, Fingerprint fingerprint, EndpointStart lost, long atMilliseconds) {
        String hexadecimal = fingerprint.hexadecimal();
        String id = type + "-" + hexadecimal + "-" + lost.endpoint() + "-" + lost.incarnation();
        return new QuarantineRecord(
                FORMAT, type, id, hexadecimal, lost.endpoint(), lost.incarnation(), atMilliseconds);
    }

    /** Returns the record that a payload of the log holds. */
    public static QuarantineRecord parse(String payload) {
        QuarantineRecord record;
        try {
            record = MAPPER.readValue(payload, QuarantineRecord.class);
        } catch (JsonProcessingException malformed) {
            throw new UnreadableRecordException("a JSON object", malformed.getOriginalMessage());
        }
        if (record.format() > FORMAT) {
            throw new UnreadableRecordException(
                    "format up to " + FORMAT, "format " + record.format());
        }
        return record;
    }

    /** Returns the payload for the log. */
    public String toPayload() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a record can't be written", impossible);
        }
    }

    Fingerprint requestFingerprint() {
        return Fingerprint.parse(fingerprint);
    }

    EndpointStart lost() {
        return new EndpointStart(endpoint, incarnation);
    }
}
