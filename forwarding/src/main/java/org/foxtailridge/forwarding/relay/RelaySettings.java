package org.foxtailridge.forwarding.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Times and sizes of a relay.
 *
 * @param announceInterval time between two announcements of positions to some peers
 * @param announcePeers peers that each announcement goes to
 * @param patience time for which the own read of the log may bring what a peer has already
 * @param staleAfter age from which the own knowledge of a stream with many records is fetched from
 *     peers
 * @param retryInterval time after which missing parts are asked for again
 * @param giveUpAfter time without a new part after which a fetch is given up
 * @param partBytes largest size of one part; small enough for one datagram
 */
public record RelaySettings(
        Duration announceInterval,
        int announcePeers,
        Duration patience,
        Duration staleAfter,
        Duration retryInterval,
        Duration giveUpAfter,
        int partBytes) {
    // 1,200 bytes and the envelope fit an Ethernet frame of 1,500 bytes.
    private static final int DATAGRAM_PART_BYTES = 1_200;

    /** Checks that no time is missing. */
    public RelaySettings {
        Objects.requireNonNull(announceInterval, "announceInterval");
        Objects.requireNonNull(patience, "patience");
        Objects.requireNonNull(staleAfter, "staleAfter");
        Objects.requireNonNull(retryInterval, "retryInterval");
        Objects.requireNonNull(giveUpAfter, "giveUpAfter");
    }

    /** Returns the default settings: an edit reaches a node without the log in well under 2 s. */
    public static RelaySettings defaults() {
        return new RelaySettings(
                Duration.ofMillis(400),
                2,
                Duration.ofMillis(120),
                Duration.ofMillis(1_500),
                Duration.ofMillis(80),
                Duration.ofMillis(600),
                DATAGRAM_PART_BYTES);
    }
}
