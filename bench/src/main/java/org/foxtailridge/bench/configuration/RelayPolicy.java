package org.foxtailridge.bench.configuration;

import java.time.Duration;
import org.foxtailridge.configuration.follow.FollowerSettings;

/** Ways to bring records to all nodes. */
enum RelayPolicy {
    /** Every node reads the log. */
    ALL_READ("every node reads the log"),
    /** Two nodes of a data centre read; the others ask a peer each second. */
    POLL("two readers, peers asked each second"),
    /** Two nodes of a data centre read and each node that learns of a record tells three more. */
    ADVERTISE("two readers, three peers told at once");

    private static final int READERS = 2;

    private final String mDescription;

    RelayPolicy(String description) {
        mDescription = description;
    }

    String description() {
        return mDescription;
    }

    boolean readsLog(int number) {
        return this == ALL_READ || number < READERS;
    }

    boolean advertises() {
        return this == ADVERTISE;
    }

    FollowerSettings settings() {
        FollowerSettings.Builder builder = FollowerSettings.builder();
        return this == ALL_READ ? builder.pollPeriod(Duration.ofHours(1)).build() : builder.build();
    }
}
