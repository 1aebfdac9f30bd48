package org.foxtailridge.membership.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Converts lease records to and from the payloads of the log. */
final class LeaseCodec {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private LeaseCodec() {}

    static String write(LeaseRecord record) {
        try {
            return MAPPER.writeValueAsString(record);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a lease record can't be written", impossible);
        }
    }

    /**
     * Returns the record of a payload; empty when it is not a lease record.
     *
     * @throws IncompatibleLeaseException when the format is newer than this version reads
     */
    static Optional<LeaseRecord> read(String payload) {
        try {
            JsonNode object = MAPPER.readTree(payload);
            int format = object.path("format").asInt(0);
            if (format > LeaseRecord.FORMAT) {
                throw new IncompatibleLeaseException(format);
            }
            if (!object.path("type").asText("").equals(LeaseRecord.TYPE)) {
                return Optional.empty();
            }
            return Optional.of(MAPPER.treeToValue(object, LeaseRecord.class));
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }
}
