package org.foxtailridge.execution.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes and reads records as JSON. */
final class ClaimRecords {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ClaimRecords() {}

    static String write(ClaimRecord record) {
        try {
            return MAPPER.writeValueAsString(record);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("claim record can't be written", failure);
        }
    }

    /**
     * Reads a record.
     *
     * @throws IncompatibleClaimException if this version can't read it
     */
    static ClaimRecord read(LogRecord record) {
        try {
            int format = MAPPER.readTree(record.payload()).path("format").asInt();
            if (format != ClaimRecord.FORMAT) {
                throw new IncompatibleClaimException(
                        record.offset(),
                        "expected format " + ClaimRecord.FORMAT + " but was " + format);
            }
            return MAPPER.readValue(record.payload(), ClaimRecord.class);
        } catch (JsonProcessingException failure) {
            throw new IncompatibleClaimException(
                    record.offset(), "expected a claim record but was unreadable");
        }
    }
}
