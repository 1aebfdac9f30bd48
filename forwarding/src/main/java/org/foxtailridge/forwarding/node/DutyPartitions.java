package org.foxtailridge.forwarding.node;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.foxtailridge.core.name.ClientAccountName;

/** Mapping of duties to partitions of the group of nodes. */
final class DutyPartitions {
    /** Duty of placement orders to engines. */
    static final int ORDERS = 0;

    private static final int FIRST_HOME_PARTITION = 1;
    // The platform's metadata store gives each topic 12 partitions; one of them is for placement
    // orders.
    private static final int HOME_PARTITIONS = 11;

    private DutyPartitions() {}

    /** Returns the partition whose holder is the home node of a client account. */
    static int homeOf(ClientAccountName account) {
        int hash =
                Hashing.murmur3_32_fixed()
                        .hashString(account.value(), StandardCharsets.UTF_8)
                        .asInt();
        return FIRST_HOME_PARTITION + Math.floorMod(hash, HOME_PARTITIONS);
    }
}
