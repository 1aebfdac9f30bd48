package org.foxtailridge.configuration.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;

/**
 * Converts records to and from the payloads of the log.
 *
 * <pre>{@code
 * String payload = RecordCodec.write(edit);
 * ConfigurationRecord record = RecordCodec.read(payload);
 * }</pre>
 */
public final class RecordCodec {
    private static final String EDIT = "edit";
    private static final String SNAPSHOT = "snapshot";

    private RecordCodec() {}

    /** Returns the payload of a record. */
    public static String write(ConfigurationRecord record) {
        ObjectNode object = EntryJson.MAPPER.createObjectNode();
        object.put("format", ConfigurationRecord.FORMAT);
        if (record instanceof Edit edit) {
            writeEdit(object, edit);
        } else if (record instanceof Snapshot snapshot) {
            writeSnapshot(object, snapshot);
        }
        return object.toString();
    }

    /**
     * Returns the record of a payload.
     *
     * @throws IncompatibleRecordException when the format is newer than this version reads
     * @throws UnreadableRecordException when the payload is not a record of its format
     */
    public static ConfigurationRecord read(String payload) {
        JsonNode object = parse(payload);
        int format = object.path("format").asInt(0);
        if (format > ConfigurationRecord.FORMAT) {
            throw new IncompatibleRecordException(format);
        }
        String id = object.path("id").asText("");
        if (format < 1) {
            throw new UnreadableRecordException(id, "expected a format of 1 or higher");
        }
        if (id.isEmpty()) {
            throw new UnreadableRecordException(id, "expected an id");
        }
        return readBody(object, id);
    }

    private static JsonNode parse(String payload) {
        try {
            return EntryJson.MAPPER.readTree(payload);
        } catch (JsonProcessingException malformed) {
            throw new UnreadableRecordException("", "expected JSON");
        }
    }

    private static ConfigurationRecord readBody(JsonNode object, String id) {
        String type = object.path("type").asText("");
        try {
            return switch (type) {
                case EDIT -> readEdit(object, id);
                case SNAPSHOT -> readSnapshot(object, id);
                default ->
                        throw new UnreadableRecordException(
                                id, "expected type edit or snapshot but was " + type);
            };
        } catch (IOException | IllegalArgumentException | NullPointerException malformed) {
            throw new UnreadableRecordException(id, firstLine(malformed));
        }
    }

    private static String firstLine(Exception malformed) {
        String message = malformed.getMessage();
        return message == null ? "a part is missing" : message.lines().findFirst().orElse("");
    }

    private static void writeEdit(ObjectNode object, Edit edit) {
        object.put("type", EDIT);
        object.put("id", edit.id());
        object.put("author", edit.author());
        ArrayNode changes = object.putArray("changes");
        for (Change change : edit.changes()) {
            ObjectNode written = changes.addObject();
            written.put("kind", change.key().kind().wireName());
            written.put("name", change.key().name());
            written.put("base", change.base());
            written.set("value", change.value().map(EntryJson::write).orElse(null));
        }
    }

    private static Edit readEdit(JsonNode object, String id) throws IOException {
        List<Change> changes = new ArrayList<>();
        for (JsonNode change : object.path("changes")) {
            EntryKind kind = kindOf(change);
            EntryKey key = new EntryKey(kind, change.path("name").asText());
            changes.add(new Change(key, baseOf(change), valueOf(kind, change)));
        }
        return new Edit(id, object.path("author").asText(""), changes);
    }

    private static EntryKind kindOf(JsonNode object) {
        String word = object.path("kind").asText("");
        return EntryKind.ofWireName(word)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "expected a listed kind but was \"" + word + "\""));
    }

    private static long baseOf(JsonNode change) {
        JsonNode base = change.path("base");
        if (!base.isIntegralNumber()) {
            throw new IllegalArgumentException("expected a whole number as base but was " + base);
        }
        return base.asLong();
    }

    private static Optional<ConfigurationEntry> valueOf(EntryKind kind, JsonNode change)
            throws IOException {
        if (!change.has("value")) {
            throw new IllegalArgumentException("expected a value or null but was neither");
        }
        JsonNode value = change.get("value");
        return value.isNull() ? Optional.empty() : Optional.of(EntryJson.read(kind, value));
    }

    private static void writeSnapshot(ObjectNode object, Snapshot snapshot) {
        object.put("type", SNAPSHOT);
        object.put("id", snapshot.id());
        object.put("covered_offset", snapshot.coveredOffset());
        object.put("replaces", snapshot.replaces());
        ObjectNode state = EntryJson.MAPPER.createObjectNode();
        ArrayNode entries = state.putArray("entries");
        for (VersionedEntry versioned : snapshot.entries()) {
            ObjectNode written = entries.addObject();
            written.put("kind", EntryKind.of(versioned.entry()).wireName());
            written.put("version", versioned.version());
            written.set("value", EntryJson.write(versioned.entry()));
        }
        state.set("outcomes", EntryJson.MAPPER.valueToTree(snapshot.outcomes()));
        object.put("state", Compression.compress(state.toString()));
    }

    private static Snapshot readSnapshot(JsonNode object, String id) throws IOException {
        JsonNode state =
                EntryJson.MAPPER.readTree(Compression.expand(object.path("state").asText()));
        List<VersionedEntry> entries = new ArrayList<>();
        for (JsonNode written : state.path("entries")) {
            ConfigurationEntry entry = EntryJson.read(kindOf(written), written.path("value"));
            entries.add(new VersionedEntry(written.path("version").asLong(), entry));
        }
        List<EditOutcome> outcomes =
                EntryJson.MAPPER.convertValue(
                        state.path("outcomes"), new TypeReference<List<EditOutcome>>() {});
        if (!object.path("covered_offset").isIntegralNumber()) {
            throw new IllegalArgumentException("expected a whole number as covered_offset");
        }
        return new Snapshot(
                id,
                object.path("covered_offset").asLong(),
                object.path("replaces").asBoolean(),
                entries,
                outcomes);
    }
}
