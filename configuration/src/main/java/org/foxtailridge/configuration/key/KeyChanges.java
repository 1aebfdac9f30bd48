package org.foxtailridge.configuration.key;

import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Plan;

/**
 * What a change of the configuration means for callers that are connected.
 *
 * @param withdrawnKeys identifiers of keys that no longer work, or not for the same client account;
 *     requests in flight that came with them are cut
 * @param changedAccounts names of client accounts that are new, gone, on another plan, or whose
 *     plan reads otherwise
 */
public record KeyChanges(Set<String> withdrawnKeys, Set<String> changedAccounts) {
    /** Copies the sets. */
    public KeyChanges {
        withdrawnKeys = Set.copyOf(withdrawnKeys);
        changedAccounts = Set.copyOf(changedAccounts);
    }

    /** Returns what changed between two configurations. */
    public static KeyChanges between(Configuration before, Configuration after) {
        Set<String> withdrawn = new TreeSet<>();
        for (CallerKey key : before.all(CallerKey.class)) {
            if (!after.find(CallerKey.class, key.name()).equals(Optional.of(key))) {
                withdrawn.add(key.name());
            }
        }
        Set<String> changed = new TreeSet<>();
        for (String account : Sets.union(accounts(before), accounts(after))) {
            boolean same =
                    before.find(ClientAccount.class, account)
                                    .equals(after.find(ClientAccount.class, account))
                            && planOf(before, account).equals(planOf(after, account));
            if (!same) {
                changed.add(account);
            }
        }
        return new KeyChanges(withdrawn, changed);
    }

    private static Set<String> accounts(Configuration configuration) {
        Set<String> names = new TreeSet<>();
        configuration.all(ClientAccount.class).forEach(account -> names.add(account.name()));
        return names;
    }

    private static Optional<Plan> planOf(Configuration configuration, String account) {
        return configuration
                .find(ClientAccount.class, account)
                .flatMap(found -> configuration.find(Plan.class, found.plan()));
    }
}
