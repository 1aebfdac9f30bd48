package org.foxtailridge.execution.claim;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.foxtailridge.core.name.ClientAccountName;

/**
 * A call with an idempotency key.
 *
 * @param id number that is unique within the process
 * @param account client account of the caller; keys of different accounts never meet
 * @param idempotencyKey value of {@code Idempotency-Key}; 1 to 255 characters
 * @param fingerprint digest of method, path and body; see {@link #fingerprintOf}
 */
public record ClaimCall(
        long id, ClientAccountName account, String idempotencyKey, String fingerprint) {
    /** Most characters of an idempotency key. */
    public static final int MAXIMUM_KEY_CHARACTERS = 255;

    private static final int DIGEST_CHARACTERS = 32;

    /** Checks that all parts are given and the length of the key. */
    public ClaimCall {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(fingerprint, "fingerprint");
        if (idempotencyKey.isEmpty() || idempotencyKey.length() > MAXIMUM_KEY_CHARACTERS) {
            throw new IllegalArgumentException(
                    "idempotencyKey must have 1 to "
                            + MAXIMUM_KEY_CHARACTERS
                            + " characters but had "
                            + idempotencyKey.length());
        }
    }

    /** Returns the digest of a request, equal for equal method, path and body. */
    public static String fingerprintOf(String method, String path, byte[] body) {
        return Hashing.sha256()
                .newHasher()
                .putInt(method.length())
                .putString(method, StandardCharsets.UTF_8)
                .putInt(path.length())
                .putString(path, StandardCharsets.UTF_8)
                .putBytes(body)
                .hash()
                .toString()
                .substring(0, DIGEST_CHARACTERS);
    }

    /** Returns the digest of client account and idempotency key, which records carry. */
    String keyDigest() {
        return Hashing.sha256()
                .newHasher()
                .putInt(account.value().length())
                .putString(account.value(), StandardCharsets.UTF_8)
                .putString(idempotencyKey, StandardCharsets.UTF_8)
                .hash()
                .toString()
                .substring(0, DIGEST_CHARACTERS);
    }
}
