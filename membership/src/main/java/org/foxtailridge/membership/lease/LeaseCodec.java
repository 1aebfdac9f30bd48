package org.foxtailridge.membership.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** JSON codec of lease records. */
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
            throw new IllegalStateException(
                    "lease record could not be serialized as JSON", impossible);
        }
    }

    /**
     * Reads a record; returns empty when the payload is malformed or a record of another type.
     *
     * @throws IncompatibleLeaseException if the format is newer than {@link LeaseRecord#FORMAT}
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
