package org.foxtailridge.configuration.list;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Optional;

/**
 * One key of a table.
 *
 * @param key key, in snake case
 * @param type type of its value
 * @param words words allowed as the value; empty when any are
 * @param defaultValue value that a missing key stands for; empty when the key must be there
 */
record Field(String key, FieldType type, List<String> words, Optional<JsonNode> defaultValue) {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    static Field required(String key, FieldType type) {
        return new Field(key, type, List.of(), Optional.empty());
    }

    static Field choice(String key, String... words) {
        return new Field(key, FieldType.TEXT, List.of(words), Optional.empty());
    }

    static Field text(String key, String defaultValue) {
        return optional(key, FieldType.TEXT, NODES.textNode(defaultValue));
    }

    static Field integer(String key, long defaultValue) {
        return optional(key, FieldType.INTEGER, NODES.numberNode(defaultValue));
    }

    static Field flag(String key, boolean defaultValue) {
        return optional(key, FieldType.BOOLEAN, NODES.booleanNode(defaultValue));
    }

    static Field texts(String key) {
        return optional(key, FieldType.TEXTS, NODES.arrayNode());
    }

    static Field routes(String key) {
        return optional(key, FieldType.ROUTES, NODES.arrayNode());
    }

    String allowed() {
        return words.isEmpty() ? type.description() : "one of " + String.join(", ", words);
    }

    private static Field optional(String key, FieldType type, JsonNode defaultValue) {
        return new Field(key, type, List.of(), Optional.of(defaultValue));
    }
}
