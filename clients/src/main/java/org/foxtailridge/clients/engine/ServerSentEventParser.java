package org.foxtailridge.clients.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits bytes into server-sent events; keeps at most one unfinished event. */
final class ServerSentEventParser {
    private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;
    private static final String DATA_FIELD = "data:";
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final StringBuilder mData = new StringBuilder();
    private String mId = "";
    private boolean mHasData;

    /**
     * Returns the events that these bytes complete.
     *
     * @throws IllegalStateException if an event exceeds one MiB
     */
    List<ServerSentEvent> parse(ByteBuffer bytes) {
        List<ServerSentEvent> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine(events);
            } else {
                append(next);
            }
        }
        return events;
    }

    private void append(byte next) {
        if (mLine.size() + mData.length() >= MAXIMUM_EVENT_BYTES) {
            throw new IllegalStateException(
                    "expected an event of at most " + MAXIMUM_EVENT_BYTES + " bytes");
        }
        mLine.write(next);
    }

    private void endLine(List<ServerSentEvent> events) {
        String line = mLine.toString(StandardCharsets.UTF_8);
        mLine.reset();
        if (line.endsWith("\r")) {
            line = line.substring(0, line.length() - 1);
        }
        if (line.isEmpty()) {
            endEvent(events);
        } else {
            addField(line);
        }
    }

    private void addField(String line) {
        if (line.startsWith(DATA_FIELD)) {
            if (mHasData) {
                mData.append('\n');
            }
            mData.append(valueOf(line, DATA_FIELD));
            mHasData = true;
        } else if (line.startsWith(ID_FIELD)) {
            mId = valueOf(line, ID_FIELD);
        }
    }

    private static String valueOf(String line, String field) {
        String value = line.substring(field.length());
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    private void endEvent(List<ServerSentEvent> events) {
        if (mHasData) {
            events.add(new ServerSentEvent(mId, mData.toString()));
        }
        mData.setLength(0);
        mId = "";
        mHasData = false;
    }
}
