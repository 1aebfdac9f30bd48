package org.foxtailridge.configuration.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.Optional;
import org.foxtailridge.configuration.model.CallerKey;

/**
 * Hashing and comparison of callers' keys.
 *
 * <p>A key reads {@code fr_IDENTIFIER_SECRET}. The identifier is public and finds the entry; only a
 * salted hash of the secret is published. Secrets are random and long, so that a fast hash
 * suffices.
 */
public final class KeyHashing {
    private static final String PREFIX = "fr_";

    private KeyHashing() {}

    /** Returns the public identifier of a presented key, empty when it isn't shaped like a key. */
    public static Optional<String> identifierOf(String key) {
        int end = secretStart(key) - 1;
        if (end <= PREFIX.length()) {
            return Optional.empty();
        }
        return Optional.of(key.substring(PREFIX.length(), end));
    }

    /**
     * Returns whether the presented key is the one that the entry was made from. The time taken
     * does not depend on how much of the secret is right.
     */
    public static boolean matches(String key, CallerKey entry) {
        int start = secretStart(key);
        byte[] expected = Base64.getDecoder().decode(entry.hash());
        byte[] salt = Base64.getDecoder().decode(entry.salt());
        boolean equal = MessageDigest.isEqual(expected, hash(salt, key.substring(start)));
        return equal && identifierOf(key).equals(Optional.of(entry.name()));
    }

    /**
     * Returns the entry to publish for a key.
     *
     * @param key the key, as the caller will present it
     * @param clientAccount name of the client account that it belongs to
     * @param salt random bytes
     */
    public static CallerKey entryFor(String key, String clientAccount, byte[] salt) {
        String identifier =
                identifierOf(key)
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "expected a key shaped fr_IDENTIFIER_SECRET"));
        Base64.Encoder encoder = Base64.getEncoder();
        byte[] hash = hash(salt, key.substring(secretStart(key)));
        return new CallerKey(
                identifier,
                clientAccount,
                encoder.encodeToString(salt),
                encoder.encodeToString(hash));
    }

    static String keyOf(String identifier, String secret) {
        return PREFIX + identifier + "_" + secret;
    }

    private static int secretStart(String key) {
        if (!key.startsWith(PREFIX)) {
            return 0;
        }
        return key.indexOf('_', PREFIX.length()) + 1;
    }

    private static byte[] hash(byte[] salt, String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(salt);
            return digest.digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("the runtime lacks SHA-256", missing);
        }
    }
}
