package org.foxtailridge.configuration.key;

import java.util.Base64;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Random;

/**
 * Makes new keys.
 *
 * <pre>{@code
 * KeyGenerator generator = new KeyGenerator(new SecureRandom());
 * GivenKey given = generator.give("harbour-books");
 * given.key(); // shown once to the customer, kept nowhere
 * given.entry(); // published
 * }</pre>
 */
public final class KeyGenerator {
    private static final int IDENTIFIER_BYTES = 8;
    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;

    private final Random mRandom;

    /**
     * Creates a generator.
     *
     * @param random source of random bytes; a {@link java.security.SecureRandom} but in tests
     */
    public KeyGenerator(Random random) {
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns a new key and the entry to publish for it.
     *
     * @param clientAccount name of the client account that gets the key
     */
    public GivenKey give(String clientAccount) {
        Objects.requireNonNull(clientAccount, "clientAccount");
        String identifier = HexFormat.of().formatHex(bytes(IDENTIFIER_BYTES));
        String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(SECRET_BYTES));
        String key = KeyHashing.keyOf(identifier, secret);
        return new GivenKey(key, KeyHashing.entryFor(key, clientAccount, bytes(SALT_BYTES)));
    }

    private byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        mRandom.nextBytes(bytes);
        return bytes;
    }
}
