package org.foxtailridge.execution.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

/**
 * Identifies requests that are alike: the same client account, aim (model or path) and body.
 *
 * @param bytes 16 bytes
 */
public record Fingerprint(ByteString bytes) {
    private static final int LENGTH_BYTES = 16;
    private static final BaseEncoding HEXADECIMAL = BaseEncoding.base16().lowerCase();

    /** Checks the length. */
    public Fingerprint {
        Objects.requireNonNull(bytes, "bytes");
        if (bytes.size() != LENGTH_BYTES) {
            throw new IllegalArgumentException(
                    "expected " + LENGTH_BYTES + " bytes but was " + bytes.size());
        }
    }

    /** Reads what {@link #hexadecimal} wrote. */
    static Fingerprint parse(String hexadecimal) {
        return new Fingerprint(ByteString.copyFrom(HEXADECIMAL.decode(hexadecimal)));
    }

    /** Returns the bytes in hexadecimal digits. */
    public String hexadecimal() {
        return HEXADECIMAL.encode(bytes.toByteArray());
    }

    /** Returns the fingerprint of a request. */
    public static Fingerprint of(String clientAccount, String aim, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        putSized(hasher, clientAccount.getBytes(StandardCharsets.UTF_8));
        putSized(hasher, aim.getBytes(StandardCharsets.UTF_8));
        putSized(hasher, body);
        byte[] hash = Arrays.copyOf(hasher.hash().asBytes(), LENGTH_BYTES);
        return new Fingerprint(ByteString.copyFrom(hash));
    }

    private static void putSized(Hasher hasher, byte[] bytes) {
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
