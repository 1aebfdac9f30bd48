package org.foxtailridge.configuration.list;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.WeightStore;
import org.foxtailridge.configuration.record.EntryJson;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads the tables of one list file. */
final class ListReader {
    private final ListProblems mProblems;
    private final String mFile;
    private final Configuration.Builder mConfiguration = Configuration.builder();
    private final Map<EntryKey, Integer> mLines = new HashMap<>();

    ListReader(String file) {
        mFile = file;
        mProblems = new ListProblems(file);
    }

    ConfigurationList read(String text) {
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            mProblems.add(error.position().line(), "TOML", error.getMessage());
        }
        mProblems.throwIfAny();
        for (String key : parsed.keySet()) {
            readTop(parsed, key);
        }
        mProblems.throwIfAny();
        return new ConfigurationList(mFile, mConfiguration.build(), mLines);
    }

    private void readTop(TomlTable file, String key) {
        int line = file.inputPositionOf(List.of(key)).line();
        Object value = file.get(List.of(key));
        Optional<EntryKind> kind = EntryKind.ofWireName(key);
        if (kind.isEmpty()) {
            mProblems.add(line, key, "unknown table, allowed are " + tables());
        } else if (kind.get() == EntryKind.WEIGHT_STORE && value instanceof TomlTable table) {
            readEntry(kind.get(), table, line);
        } else if (kind.get() != EntryKind.WEIGHT_STORE && value instanceof TomlArray array) {
            readEntries(kind.get(), array);
        } else {
            mProblems.add(line, key, "expected " + header(kind.get()));
        }
    }

    private void readEntries(EntryKind kind, TomlArray array) {
        for (int index = 0; index < array.size(); index++) {
            int line = array.inputPositionOf(index).line();
            if (array.get(index) instanceof TomlTable table) {
                readEntry(kind, table, line);
            } else {
                mProblems.add(line, kind.wireName(), "expected " + header(kind));
            }
        }
    }

    private void readEntry(EntryKind kind, TomlTable table, int line) {
        int before = mProblems.count();
        TableReader reader = new TableReader(mProblems, kind.wireName(), TableSchema.of(kind));
        ObjectNode object = reader.read(table, line);
        if (mProblems.count() > before) {
            return;
        }
        if (kind == EntryKind.SERVICE) {
            object.set("routes", object.remove("route"));
        }
        if (kind == EntryKind.WEIGHT_STORE) {
            object.put("name", WeightStore.ONLY_NAME);
        }
        try {
            add(EntryJson.read(kind, object), line);
        } catch (JsonProcessingException outOfRange) {
            mProblems.add(line, kind.wireName(), outOfRange.getOriginalMessage());
        }
    }

    private void add(ConfigurationEntry entry, int line) {
        Integer first = mLines.putIfAbsent(EntryKey.of(entry), line);
        if (first != null) {
            mProblems.add(
                    line,
                    EntryKey.of(entry).toString(),
                    "expected a name of its own but line " + first + " has the same");
            return;
        }
        mConfiguration.put(entry);
    }

    private static String header(EntryKind kind) {
        String word = kind.wireName();
        return kind == EntryKind.WEIGHT_STORE ? "[" + word + "]" : "[[" + word + "]]";
    }

    private static String tables() {
        List<String> headers = new ArrayList<>();
        Arrays.stream(EntryKind.values()).forEach(kind -> headers.add(header(kind)));
        return headers.stream().collect(Collectors.joining(", "));
    }
}
