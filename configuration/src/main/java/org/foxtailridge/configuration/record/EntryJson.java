package org.foxtailridge.configuration.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKind;

/** The JSON form of entries: snake case, unknown fields ignored. */
public final class EntryJson {
    static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .build();

    private EntryJson() {}

    /** Returns the JSON object of an entry. */
    public static ObjectNode write(ConfigurationEntry entry) {
        return MAPPER.valueToTree(entry);
    }

    /**
     * Returns the entry of a JSON object.
     *
     * @param kind kind of the entry
     * @param object its fields
     * @throws JsonProcessingException when a field is missing or of the wrong type
     */
    public static ConfigurationEntry read(EntryKind kind, JsonNode object)
            throws JsonProcessingException {
        return MAPPER.treeToValue(object, kind.entryClass());
    }
}
