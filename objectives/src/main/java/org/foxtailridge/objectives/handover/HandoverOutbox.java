package org.foxtailridge.objectives.handover;

import org.foxtailridge.protocol.objectives.ObjectivesMessage;

/** Takes messages for other nodes; they may be lost, late or doubled. */
@FunctionalInterface
public interface HandoverOutbox {
    /** Sends a message to a node. */
    void send(String node, ObjectivesMessage message);
}
