package org.foxtailridge.placement.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes order records as JSON. Unknown fields are ignored.
 *
 * <pre>{@code
 * String payload = OrderRecordCodec.encode(record);
 * OrderRecord read = OrderRecordCodec.decode(payload);
 * }</pre>
 */
public final class OrderRecordCodec {
    /** Format that this version writes, and the highest that it reads. */
    public static final int FORMAT = 1;

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private OrderRecordCodec() {}

    /** Returns the payload of a record. */
    public static String encode(OrderRecord record) {
        try {
            return MAPPER.writerFor(OrderRecord.class).writeValueAsString(record);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("order record can't be written", failure);
        }
    }

    /**
     * Returns the record of a payload.
     *
     * @throws UnreadableOrderRecordException if the format is newer than this version's or the
     *     payload is no order record
     */
    public static OrderRecord decode(String payload) {
        try {
            JsonNode tree = MAPPER.readTree(payload);
            int format = tree.path("format").asInt(0);
            if (format > FORMAT) {
                throw new UnreadableOrderRecordException(FORMAT, format);
            }
            if (format < 1) {
                throw new UnreadableOrderRecordException("format was " + tree.path("format"));
            }
            return MAPPER.treeToValue(tree, OrderRecord.class);
        } catch (JsonProcessingException failure) {
            throw new UnreadableOrderRecordException(failure.getOriginalMessage());
        }
    }
}
