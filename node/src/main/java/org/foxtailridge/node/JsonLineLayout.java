package org.foxtailridge.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.util.IndexedReadOnlyStringMap;

/**
 * Writes each event as one line of JSON: {@code time} in milliseconds since the epoch, {@code
 * level}, {@code logger}, {@code line} and, if there is one, {@code exception}.
 *
 * <p>Used in place of the library's template layout, whose resolvers are plugins that are looked up
 * and made by reflection at each start of a node.
 */
final class JsonLineLayout extends AbstractStringLayout {
    private final JsonFactory mFactory = new JsonFactory();

    JsonLineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = mFactory.createGenerator(line)) {
            json.writeStartObject();
            json.writeNumberField("time", event.getInstant().getEpochMillisecond());
            json.writeStringField("level", event.getLevel().name());
            json.writeStringField("logger", event.getLoggerName());
            json.writeFieldName("line");
            writeMessage(json, event.getMessage());
            if (event.getThrown() != null) {
                json.writeStringField("exception", stackTrace(event.getThrown()));
            }
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException("a string writer does not fail", impossible);
        }
        return line.append('\n').toString();
    }

    private static void writeMessage(JsonGenerator json, Message message) throws IOException {
        if (!(message instanceof MapMessage<?, ?> fields)) {
            json.writeString(message.getFormattedMessage());
            return;
        }
        json.writeStartObject();
        IndexedReadOnlyStringMap data = fields.getIndexedReadOnlyStringMap();
        for (int index = 0; index < data.size(); index++) {
            json.writeFieldName(data.getKeyAt(index));
            Object value = data.getValueAt(index);
            if (value instanceof Number number) {
                json.writeNumber(number.longValue());
            } else {
                json.writeString(String.valueOf(value));
            }
        }
        json.writeEndObject();
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter trace = new StringWriter();
        thrown.printStackTrace(new PrintWriter(trace));
        return trace.toString();
    }
}
