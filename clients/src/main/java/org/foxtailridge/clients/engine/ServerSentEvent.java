package org.foxtailridge.clients.engine;

/**
 * One server-sent event.
 *
 * @param id value of the last {@code id} field, empty when there is none
 * @param data value of the {@code data} fields, joined by line feeds
 */
record ServerSentEvent(String id, String data) {
    static final String DONE = "[DONE]";

    boolean isDone() {
        return data.equals(DONE);
    }
}
