package org.foxtailridge.forwarding.node;

import java.time.Clock;
import org.foxtailridge.execution.crash.CrashLedger;
import org.foxtailridge.protocol.crashes.CrashesMessage;
import org.foxtailridge.protocol.envelope.Subject;

/** Connects the ledger of endpoint crashes to the network: crashes are shared between nodes. */
final class NodeCrashes {
    private final CrashLedger mLedger;

    NodeCrashes(Clock clock, NodeMembership members, DatagramNetwork network) {
        mLedger = new CrashLedger(clock, message -> members.sendToPeers(Subject.CRASHES, message));
        network.receive(
                Subject.CRASHES,
                CrashesMessage.parser(),
                (sender, message) -> mLedger.received(message));
    }

    CrashLedger ledger() {
        return mLedger;
    }
}
