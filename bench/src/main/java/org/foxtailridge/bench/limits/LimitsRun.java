package org.foxtailridge.bench.limits;

import java.util.List;

/**
 * What one policy did with the demand.
 *
 * @param admitted for each request whether it was admitted
 * @param overTokens most tokens by which any window of any client account was exceeded
 * @param messagesPerSecond messages that a node sent and received in a second, on average
 * @param bytesPerSecond bytes that a node sent and received in a second, on average
 * @param mostBytesPerSecond the same for the node with most
 */
record LimitsRun(
        List<Boolean> admitted,
        long overTokens,
        double messagesPerSecond,
        double bytesPerSecond,
        double mostBytesPerSecond) {}
