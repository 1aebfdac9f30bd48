package org.foxtailridge.configuration.record;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Texts as Base64 of their gzip form, so that a whole state fits into one append. */
final class Compression {
    private static final int MAXIMUM_EXPANDED_BYTES = 64 * 1024 * 1024;

    private Compression() {}

    static String compress(String text) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return Base64.getEncoder().encodeToString(bytes.toByteArray());
    }

    static String expand(String compressed) throws IOException {
        byte[] bytes = Base64.getDecoder().decode(compressed);
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            byte[] expanded = gzip.readNBytes(MAXIMUM_EXPANDED_BYTES);
            if (gzip.read() >= 0) {
                throw new IOException(
                        "expected a state of at most " + MAXIMUM_EXPANDED_BYTES + " bytes");
            }
            return new String(expanded, StandardCharsets.UTF_8);
        }
    }
}
