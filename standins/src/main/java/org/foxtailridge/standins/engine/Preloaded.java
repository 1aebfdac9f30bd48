package org.foxtailridge.standins.engine;

import java.util.List;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/**
 * A model or adapter that is resident from the start of an engine.
 *
 * @param name name of the model or adapter
 * @param model name of the model of an adapter; null for a model
 * @param version version of the weights
 * @param bytes memory of the weights
 * @param workingBytes memory for the KV cache of a model; 0 stands for 1 GiB
 */
public record Preloaded(String name, String model, String version, long bytes, long workingBytes) {
    private static final long DEFAULT_WORKING_BYTES = 1L << 30;

    /** Returns a preloaded model. */
    public static Preloaded model(String name, String version, long bytes, long workingBytes) {
        long working = workingBytes == 0 ? DEFAULT_WORKING_BYTES : workingBytes;
        return new Preloaded(name, null, version, bytes, working);
    }

    /** Returns a preloaded adapter. */
    public static Preloaded adapter(String name, String model, String version, long bytes) {
        return new Preloaded(name, model, version, bytes, 0);
    }

    /**
     * Returns the model that {@code NAME,VERSION,BYTES[,WORKING_BYTES]} describes.
     *
     * @throws BadPreloadException if the text has another form
     */
    public static Preloaded parseModel(String text) {
        List<String> parts = List.of(text.split(",", -1));
        if (parts.size() < 3 || parts.size() > 4) {
            throw new BadPreloadException("NAME,VERSION,BYTES[,WORKING_BYTES]", text);
        }
        long working = parts.size() == 4 ? bytes(parts.get(3), text) : 0;
        return model(parts.get(0), parts.get(1), bytes(parts.get(2), text), working);
    }

    /**
     * Returns the adapter that {@code NAME,MODEL,VERSION,BYTES} describes.
     *
     * @throws BadPreloadException if the text has another form
     */
    public static Preloaded parseAdapter(String text) {
        List<String> parts = List.of(text.split(",", -1));
        if (parts.size() != 4) {
            throw new BadPreloadException("NAME,MODEL,VERSION,BYTES", text);
        }
        return adapter(parts.get(0), parts.get(1), parts.get(2), bytes(parts.get(3), text));
    }

    private static long bytes(String number, String text) {
        try {
            return Long.parseLong(number);
        } catch (NumberFormatException failure) {
            throw new BadPreloadException("a number of bytes", text);
        }
    }

    /** Thrown when the text of a preloaded model or adapter can't be read. */
    public static final class BadPreloadException extends FoxtailridgeException {
        private BadPreloadException(String expected, String actual) {
            super(
                    ErrorKind.MALFORMED_REQUEST,
                    "expected " + expected + " but was \"" + actual + "\"");
        }
    }
}
