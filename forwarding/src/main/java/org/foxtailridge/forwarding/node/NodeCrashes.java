package org.foxtailridge.forwarding.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.execution.crash.CrashLedger;
import org.foxtailridge.protocol.crashes.CrashesMessage;
import org.foxtailridge.protocol.envelope.Subject;

/** Crashes of endpoints, told from node to node. */
final class NodeCrashes {
    private static final Logger LOGGER = LogManager.getLogger(NodeCrashes.class);

    private final NodeMembership mMembers;
    private final DatagramNetwork mNetwork;
    private final CrashLedger mLedger;

    NodeCrashes(Clock clock, NodeMembership members, DatagramNetwork network) {
        mMembers = members;
        mNetwork = network;
        mLedger = new CrashLedger(clock, this::broadcast);
        network.receive(Subject.CRASHES, this::receive);
    }

    CrashLedger ledger() {
        return mLedger;
    }

    private void broadcast(CrashesMessage message) {
        for (NodeName node : mMembers.peers()) {
            mNetwork.send(node, Subject.CRASHES, message);
        }
    }

    private void receive(NodeName sender, byte[] payload) {
        try {
            mLedger.received(CrashesMessage.parseFrom(payload));
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("message of {} about crashes can't be read", sender);
        }
    }
}
