package org.foxtailridge.configuration.key;

import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Plan;

/**
 * Finds the client account of a presented key. Immutable.
 *
 * <p>A key whose identifier is not listed takes as long to refuse as one with a wrong secret.
 *
 * <pre>{@code
 * KeyIndex index = KeyIndex.of(configuration);
 * Optional<KeyHolder> holder = index.find("fr_1a2b_secret");
 * }</pre>
 */
public final class KeyIndex {
    private static final CallerKey NOBODY =
            new CallerKey(
                    "nobody",
                    "nobody",
                    Base64.getEncoder().encodeToString(new byte[16]),
                    Base64.getEncoder().encodeToString(new byte[32]));

    private final Map<String, KeyHolder> mHolders;

    private KeyIndex(Map<String, KeyHolder> holders) {
        mHolders = holders;
    }

    /** Returns the index of the keys in a configuration. */
    public static KeyIndex of(Configuration configuration) {
        Map<String, KeyHolder> holders = new HashMap<>();
        for (CallerKey key : configuration.all(CallerKey.class)) {
            holderOf(configuration, key).ifPresent(holder -> holders.put(key.name(), holder));
        }
        return new KeyIndex(holders);
    }

    /**
     * Returns who holds a key; empty when the key is not in force.
     *
     * @param presentedKey key as the caller presented it
     */
    public Optional<KeyHolder> find(String presentedKey) {
        Optional<KeyHolder> holder = KeyHashing.identifierOf(presentedKey).map(mHolders::get);
        CallerKey entry = holder.map(KeyHolder::key).orElse(NOBODY);
        boolean matches = KeyHashing.matches(presentedKey, entry);
        return matches ? holder : Optional.empty();
    }

    /** Returns the number of keys in force. */
    public int size() {
        return mHolders.size();
    }

    private static Optional<KeyHolder> holderOf(Configuration configuration, CallerKey key) {
        Optional<ClientAccount> account =
                configuration.find(ClientAccount.class, key.clientAccount());
        return account.flatMap(
                holder ->
                        configuration
                                .find(Plan.class, holder.plan())
                                .map(plan -> new KeyHolder(key, holder, plan)));
    }
}
