package org.foxtailridge.configuration.list;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.record.EntryJson;
import org.tomlj.Toml;

/**
 * Writes a configuration as a list file that {@link ConfigurationList#read} reads back as equal
 * entries.
 */
public final class ListRenderer {
    private ListRenderer() {}

    /** Returns the text of the list file. */
    public static String render(Configuration configuration) {
        StringBuilder text = new StringBuilder();
        for (EntryKind kind : EntryKind.values()) {
            for (ConfigurationEntry entry : configuration.entries(kind)) {
                renderEntry(text, kind, entry);
            }
        }
        return text.toString();
    }

    private static void renderEntry(StringBuilder text, EntryKind kind, ConfigurationEntry entry) {
        ObjectNode object = EntryJson.write(entry);
        if (kind == EntryKind.SERVICE) {
            object.set("route", object.remove("routes"));
        }
        boolean only = kind == EntryKind.WEIGHT_STORE;
        text.append(only ? "[weight_store]\n" : "[[" + kind.wireName() + "]]\n");
        renderFields(text, TableSchema.of(kind), object);
        for (JsonNode route : object.path("route")) {
            text.append("[[service.route]]\n");
            renderFields(text, TableSchema.ROUTE, route);
        }
        text.append('\n');
    }

    private static void renderFields(StringBuilder text, TableSchema schema, JsonNode object) {
        for (Field field : schema.fields()) {
            if (field.type() == FieldType.ROUTES) {
                continue;
            }
            JsonNode value = object.get(field.key());
            text.append(field.key()).append(" = ").append(literal(value)).append('\n');
        }
    }

    private static String literal(JsonNode value) {
        if (value.isTextual()) {
            return "\"" + Toml.tomlEscape(value.asText()) + "\"";
        }
        if (!value.isArray()) {
            return value.asText();
        }
        StringBuilder array = new StringBuilder("[");
        for (JsonNode element : value) {
            array.append(array.length() > 1 ? ", " : "").append(literal(element));
        }
        return array.append(']').toString();
    }
}
