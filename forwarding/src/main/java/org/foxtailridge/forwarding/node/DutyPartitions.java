package org.foxtailridge.forwarding.node;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.foxtailridge.core.name.ClientAccountName;

/** Which partition of the group stands for which duty. */
final class DutyPartitions {
    /** Orders to engines. */
    static final int ORDERS = 0;

    private static final int FIRST_HOME = 1;
    // The store gives each topic 12 partitions; one of them stands for the orders.
    private static final int HOMES = 11;

    private DutyPartitions() {}

    /** Returns the partition that stands for the home of a client account. */
    static int homeOf(ClientAccountName account) {
        int hash =
                Hashing.murmur3_32_fixed()
                        .hashString(account.value(), StandardCharsets.UTF_8)
                        .asInt();
        return FIRST_HOME + Math.floorMod(hash, HOMES);
    }
}
