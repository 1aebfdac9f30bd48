package org.foxtailridge.standins.server;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Reads and writes JSON in snake case; unknown fields are ignored. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .serializationInclusion(JsonInclude.Include.ALWAYS)
                    .build();

    private Json() {}

    /** Returns the JSON of a value. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("expected a value with a JSON form", failure);
        }
    }

    /**
     * Returns the value that JSON describes.
     *
     * @throws MalformedBodyException if the bytes are no JSON of this type
     */
    public static <T> T read(byte[] body, Class<T> type) {
        try {
            T value = MAPPER.readValue(body, type);
            if (value == null) {
                throw new MalformedBodyException(type, "null");
            }
            return value;
        } catch (IOException failure) {
            throw new MalformedBodyException(type, failure.getClass().getSimpleName());
        }
    }
}
