package org.foxtailridge.configuration.check;

import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.Configuration;

/** Salts and hashes have the right shape, and no two keys are equal. */
final class KeyCheck implements ConfigurationCheck {
    private static final int MINIMUM_SALT_BYTES = 8;
    private static final int HASH_BYTES = 32;

    @Override
    public void check(Configuration configuration, ProblemSink problems) {
        Map<String, CallerKey> seen = new HashMap<>();
        for (CallerKey key : configuration.all(CallerKey.class)) {
            if (lengthOf(key.salt()) < MINIMUM_SALT_BYTES) {
                String message = "expected at least " + MINIMUM_SALT_BYTES + " bytes in Base64";
                problems.add(ProblemKind.BAD_KEY, key, "salt", message);
            }
            if (lengthOf(key.hash()) != HASH_BYTES) {
                String message = "expected " + HASH_BYTES + " bytes in Base64";
                problems.add(ProblemKind.BAD_KEY, key, "hash", message);
            }
            CallerKey same = seen.putIfAbsent(key.hash(), key);
            if (same != null) {
                String message = "expected a key of its own but was equal to key " + same.name();
                problems.add(ProblemKind.DUPLICATE, key, "hash", message);
            }
        }
    }

    private static int lengthOf(String base64) {
        try {
            return Base64.getDecoder().decode(base64).length;
        } catch (IllegalArgumentException malformed) {
            return 0;
        }
    }
}
