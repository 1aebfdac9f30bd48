package org.foxtailridge.cli.explain;

import java.util.List;

/**
 * Something that lines name in a field: a request, an endpoint, a client account or a duty.
 *
 * @param kind what it is, for messages
 * @param field name of the field
 * @param value its name
 */
record FieldSubject(String kind, String field, String value) implements Subject {
    @Override
    public String description() {
        return kind + " " + value;
    }

    @Override
    public List<LogLine> select(List<LogLine> lines) {
        return lines.stream().filter(line -> line.has(field, value)).toList();
    }
}
