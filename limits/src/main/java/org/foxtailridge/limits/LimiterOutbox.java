package org.foxtailridge.limits;

import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.limits.LimitsMessage;

/** Takes the messages that a limiter sends to other nodes; sending may fail silently. */
@FunctionalInterface
public interface LimiterOutbox {
    /**
     * Sends a message.
     *
     * @param receiver node that the message is for
     * @param message message of subject {@code LIMITS}
     */
    void send(NodeName receiver, LimitsMessage message);
}
