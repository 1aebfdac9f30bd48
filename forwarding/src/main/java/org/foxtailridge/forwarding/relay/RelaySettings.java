package org.foxtailridge.forwarding.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Timings and sizes of a relay.
 *
 * @param announceInterval time between two periodic announcements of positions
 * @param announcePeers number of random peers that receive a periodic announcement
 * @param changePeers number of random peers that receive the announcement of a change
 * @param logReadGracePeriod time in which this node's own read of the log may still return the
 *     records that a peer already has, before they are fetched from peers; only for the
 *     configuration
 * @param staleAfter time since this node's state of a frequently changing stream was confirmed,
 *     from which on it is fetched from peers
 * @param retryInterval time after which missing parts are requested again
 * @param giveUpAfter time without a new part after which a fetch is cancelled
 * @param partBytes maximum size of one part of a snapshot in bytes; small enough for one datagram
 */
public record RelaySettings(
        Duration announceInterval,
        int announcePeers,
        int changePeers,
        Duration logReadGracePeriod,
        Duration staleAfter,
        Duration retryInterval,
        Duration giveUpAfter,
        int partBytes) {
    // With the envelope, 1,200 bytes fit into an Ethernet frame of 1,500 bytes.
    private static final int DATAGRAM_PART_BYTES = 1_200;

    /** Creates settings; no time may be null. */
    public RelaySettings {
        Objects.requireNonNull(announceInterval, "announceInterval");
        Objects.requireNonNull(logReadGracePeriod, "logReadGracePeriod");
        Objects.requireNonNull(staleAfter, "staleAfter");
        Objects.requireNonNull(retryInterval, "retryInterval");
        Objects.requireNonNull(giveUpAfter, "giveUpAfter");
    }

    /**
     * Returns the defaults, with which an edit reaches a node without the log in well under 2 s.
     */
    public static RelaySettings defaults() {
        // announceInterval, announcePeers, changePeers, logReadGracePeriod, staleAfter,
        // retryInterval, giveUpAfter, partBytes
        return new RelaySettings(
                Duration.ofMillis(400),
                2,
                12,
                Duration.ofMillis(120),
                Duration.ofMillis(1_500),
                Duration.ofMillis(80),
                Duration.ofMillis(600),
                DATAGRAM_PART_BYTES);
    }
}
