package org.foxtailridge.limits;

import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.limits.LimitsMessage;

/**
 * Outbox through which a limiter sends messages to other nodes. Messages may be lost, delayed,
 * duplicated or reordered.
 */
@FunctionalInterface
public interface LimiterOutbox {
    /**
     * Sends a message.
     *
     * @param receiver destination node
     * @param message message of subject {@code LIMITS}
     */
    void send(NodeName receiver, LimitsMessage message);
}
