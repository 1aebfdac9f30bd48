package org.foxtailridge.core.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * JSON codec with names in snake case. It ignores unknown fields and omits null references.
 * Thread-safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .serializationInclusion(JsonInclude.Include.NON_NULL)
                    .build();

    private Json() {}

    /** Returns the shared mapper, which must not be reconfigured. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Writes a value as JSON text.
     *
     * @throws UncheckedIOException if the value can't be serialized
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Writes a value as JSON in UTF-8.
     *
     * @throws UncheckedIOException if the value can't be serialized
     */
    public static byte[] writeBytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Reads a value from JSON text.
     *
     * @throws UncheckedIOException if the text isn't JSON or doesn't match the type
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Reads a value from JSON in UTF-8.
     *
     * @throws UncheckedIOException if the bytes aren't JSON or don't match the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
