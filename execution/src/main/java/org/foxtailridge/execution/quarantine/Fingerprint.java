package org.foxtailridge.execution.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

/**
 * Identifies requests that are alike: the same client account, model and body.
 *
 * @param bytes 16 bytes
 */
public record Fingerprint(ByteString bytes) {
    private static final int LENGTH_BYTES = 16;

    /** Checks the length. */
    public Fingerprint {
        Objects.requireNonNull(bytes, "bytes");
        if (bytes.size() != LENGTH_BYTES) {
            throw new IllegalArgumentException(
                    "expected " + LENGTH_BYTES + " bytes but was " + bytes.size());
        }
    }

    /** Returns the fingerprint of a request. */
    public static Fingerprint of(String clientAccount, String model, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        putSized(hasher, clientAccount.getBytes(StandardCharsets.UTF_8));
        putSized(hasher, model.getBytes(StandardCharsets.UTF_8));
        putSized(hasher, body);
        byte[] hash = Arrays.copyOf(hasher.hash().asBytes(), LENGTH_BYTES);
        return new Fingerprint(ByteString.copyFrom(hash));
    }

    private static void putSized(Hasher hasher, byte[] bytes) {
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
