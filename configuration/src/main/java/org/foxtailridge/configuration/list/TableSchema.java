package org.foxtailridge.configuration.list;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.configuration.model.EntryKind;

/** Keys that a table of each kind of entry may have. */
final class TableSchema {
    static final TableSchema ROUTE =
            new TableSchema(
                    List.of(
                            Field.text("method", "*"),
                            Field.required("path", FieldType.TEXT),
                            Field.flag("idempotent", false),
                            Field.flag("open", false),
                            Field.integer("tokens", 1),
                            Field.integer("timeout_milliseconds", 30_000)));

    private static final Map<EntryKind, TableSchema> SCHEMAS = schemas();

    private final List<Field> mFields;

    private TableSchema(List<Field> fields) {
        mFields = fields;
    }

    static TableSchema of(EntryKind kind) {
        return SCHEMAS.get(kind);
    }

    List<Field> fields() {
        return mFields;
    }

    Optional<Field> field(String key) {
        return mFields.stream().filter(field -> field.key().equals(key)).findFirst();
    }

    List<String> keys() {
        return mFields.stream().map(Field::key).toList();
    }

    private static Map<EntryKind, TableSchema> schemas() {
        Map<EntryKind, TableSchema> schemas = new EnumMap<>(EntryKind.class);
        addAccounts(schemas);
        addModels(schemas);
        addEndpoints(schemas);
        addObjectives(schemas);
        return schemas;
    }

    private static void addAccounts(Map<EntryKind, TableSchema> schemas) {
        put(
                schemas,
                EntryKind.PLAN,
                Field.required("name", FieldType.TEXT),
                Field.required("rate_tokens_per_second", FieldType.INTEGER),
                Field.required("burst_tokens", FieldType.INTEGER),
                Field.texts("models"),
                Field.texts("adapters"),
                Field.texts("services"),
                Field.integer("maximum_staleness_seconds", 3_600),
                Field.integer("maximum_connections", 256));
        put(
                schemas,
                EntryKind.CLIENT_ACCOUNT,
                Field.required("name", FieldType.TEXT),
                Field.required("plan", FieldType.TEXT));
        put(
                schemas,
                EntryKind.KEY,
                Field.required("name", FieldType.TEXT),
                Field.required("client_account", FieldType.TEXT),
                Field.required("salt", FieldType.TEXT),
                Field.required("hash", FieldType.TEXT));
    }

    private static void addModels(Map<EntryKind, TableSchema> schemas) {
        put(
                schemas,
                EntryKind.MODEL,
                Field.required("name", FieldType.TEXT),
                Field.text("version", "1"),
                Field.required("weights_bytes", FieldType.INTEGER),
                Field.integer("working_bytes", 0),
                Field.texts("pools"),
                Field.integer("context_tokens", 8_192));
        put(
                schemas,
                EntryKind.ADAPTER,
                Field.required("name", FieldType.TEXT),
                Field.required("model", FieldType.TEXT),
                Field.text("version", "1"),
                Field.required("bytes", FieldType.INTEGER));
    }

    private static void addEndpoints(Map<EntryKind, TableSchema> schemas) {
        put(
                schemas,
                EntryKind.ENDPOINT,
                Field.required("name", FieldType.TEXT),
                Field.choice("kind", "engine", "service"),
                Field.required("pool", FieldType.TEXT),
                Field.required("data_centre", FieldType.TEXT),
                Field.required("address", FieldType.TEXT),
                Field.integer("memory_bytes", 0),
                Field.integer("accelerators", 1),
                Field.flag("honours_fencing", false),
                Field.flag("leaving", false));
        put(
                schemas,
                EntryKind.SERVICE,
                Field.required("name", FieldType.TEXT),
                Field.required("pool", FieldType.TEXT),
                Field.routes("route"));
        put(
                schemas,
                EntryKind.WEIGHT_STORE,
                Field.text("name", "default"),
                Field.required("loads_per_second", FieldType.NUMBER),
                Field.required("loads_at_full_speed", FieldType.INTEGER),
                Field.required("adapters_in_transit", FieldType.INTEGER));
    }

    private static void addObjectives(Map<EntryKind, TableSchema> schemas) {
        put(
                schemas,
                EntryKind.OBJECTIVE,
                Field.required("name", FieldType.TEXT),
                Field.text("route", "*"),
                Field.text("client_account", "*"),
                Field.choice(
                        "measure", "first_token", "between_tokens", "completion", "availability"),
                Field.integer("threshold_milliseconds", 0),
                Field.required("target", FieldType.NUMBER),
                Field.integer("window_seconds", 2_592_000));
    }

    private static void put(Map<EntryKind, TableSchema> schemas, EntryKind kind, Field... fields) {
        schemas.put(kind, new TableSchema(List.of(fields)));
    }
}
