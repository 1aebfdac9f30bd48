package org.foxtailridge.configuration.list;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Reads one table by its schema into a JSON object with defaults filled in. */
final class TableReader {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final ListProblems mProblems;
    private final String mTable;
    private final TableSchema mSchema;

    TableReader(ListProblems problems, String table, TableSchema schema) {
        mProblems = problems;
        mTable = table;
        mSchema = schema;
    }

    ObjectNode read(TomlTable table, int line) {
        for (String key : table.keySet()) {
            if (mSchema.field(key).isEmpty()) {
                mProblems.add(
                        lineOf(table, key),
                        mTable + "." + key,
                        "unknown key, allowed are " + String.join(", ", mSchema.keys()));
            }
        }
        ObjectNode object = NODES.objectNode();
        for (Field field : mSchema.fields()) {
            readField(table, line, field).ifPresent(value -> object.set(field.key(), value));
        }
        return object;
    }

    private Optional<JsonNode> readField(TomlTable table, int line, Field field) {
        Object value = table.get(List.of(field.key()));
        String path = mTable + "." + field.key();
        if (value == null) {
            if (field.defaultValue().isEmpty()) {
                mProblems.add(line, path, "expected " + field.allowed() + " but was missing");
            }
            return field.defaultValue();
        }
        int valueLine = lineOf(table, field.key());
        Optional<JsonNode> converted = convert(field, value);
        if (converted.isEmpty()) {
            mProblems.add(valueLine, path, "expected " + field.allowed() + " but was " + value);
        }
        return converted;
    }

    private Optional<JsonNode> convert(Field field, Object value) {
        return switch (field.type()) {
            case TEXT -> text(field, value);
            case INTEGER ->
                    value instanceof Long whole
                            ? Optional.of(NODES.numberNode(whole))
                            : Optional.empty();
            case NUMBER -> number(value);
            case BOOLEAN ->
                    value instanceof Boolean flag
                            ? Optional.of(NODES.booleanNode(flag))
                            : Optional.empty();
            case TEXTS -> texts(value);
            case ROUTES -> routes(value);
        };
    }

    private static Optional<JsonNode> text(Field field, Object value) {
        if (!(value instanceof String text)) {
            return Optional.empty();
        }
        boolean allowed = field.words().isEmpty() || field.words().contains(text);
        return allowed ? Optional.of(NODES.textNode(text)) : Optional.empty();
    }

    private static Optional<JsonNode> number(Object value) {
        if (value instanceof Number number) {
            return Optional.of(NODES.numberNode(number.doubleValue()));
        }
        return Optional.empty();
    }

    private static Optional<JsonNode> texts(Object value) {
        if (!(value instanceof TomlArray array)) {
            return Optional.empty();
        }
        ArrayNode texts = NODES.arrayNode();
        for (int index = 0; index < array.size(); index++) {
            if (!(array.get(index) instanceof String text)) {
                return Optional.empty();
            }
            texts.add(text);
        }
        return Optional.of(texts);
    }

    private Optional<JsonNode> routes(Object value) {
        if (!(value instanceof TomlArray array)) {
            return Optional.empty();
        }
        TableReader reader = new TableReader(mProblems, mTable + ".route", TableSchema.ROUTE);
        ArrayNode routes = NODES.arrayNode();
        for (int index = 0; index < array.size(); index++) {
            if (!(array.get(index) instanceof TomlTable table)) {
                return Optional.empty();
            }
            routes.add(reader.read(table, array.inputPositionOf(index).line()));
        }
        return Optional.of(routes);
    }

    private static int lineOf(TomlTable table, String key) {
        return table.inputPositionOf(List.of(key)).line();
    }
}
