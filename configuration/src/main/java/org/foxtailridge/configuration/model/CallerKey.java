package org.foxtailridge.configuration.model;

import java.util.Objects;

/**
 * The salted hash of a caller's key.
 *
 * @param name public identifier of the key, which is its first part
 * @param clientAccount name of the client account that the key belongs to
 * @param salt salt, in Base64
 * @param hash SHA-256 of salt and secret, in Base64
 */
public record CallerKey(String name, String clientAccount, String salt, String hash)
        implements ConfigurationEntry {
    /** Checks that no part is missing. */
    public CallerKey {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(clientAccount, "clientAccount");
        Objects.requireNonNull(salt, "salt");
        Objects.requireNonNull(hash, "hash");
    }

    @Override
    public String toString() {
        return "CallerKey[name=" + name + ", clientAccount=" + clientAccount + "]";
    }
}
