package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.execution.crash.CrashLedger;
import org.foxtailridge.execution.crash.CrashOutbox;
import org.foxtailridge.execution.crash.PromptCrashLedger;
import org.foxtailridge.membership.duty.Rendezvous;
import org.foxtailridge.protocol.crashes.CrashesMessage;
import org.foxtailridge.protocol.envelope.Subject;

/** Connects the ledgers of endpoint crashes to the network: crashes are shared between nodes. */
final class NodeCrashes {
    private static final long HOLDS_INTERVAL_MILLISECONDS = 500;
    private static final int HOLDS_PEERS = 2;
    private static final String TRY_DUTY_PREFIX = "try-prompt-part:";

    private final NodeName mNode;
    private final Clock mClock;
    private final NodeMembership mMembers;
    private final DatagramNetwork mNetwork;
    private final Random mRandom;
    private final CrashLedger mRequests;
    private final PromptCrashLedger mPrompts;
    private long mNextHoldsMilliseconds;

    NodeCrashes(NodeName node, Clock clock, NodeMembership members, DatagramNetwork network) {
        mNode = node;
        mClock = clock;
        mMembers = members;
        mNetwork = network;
        mRandom = new Random(node.hashCode());
        CrashOutbox outbox = message -> members.sendToPeers(Subject.CRASHES, message);
        mRequests = new CrashLedger(clock, outbox);
        mPrompts = new PromptCrashLedger(clock, outbox, this::triesPart);
        network.receive(
                Subject.CRASHES,
                CrashesMessage.parser(),
                (sender, message) -> {
                    mRequests.received(message);
                    mPrompts.received(message);
                });
    }

    /** Returns the ledger of single requests. */
    CrashLedger requests() {
        return mRequests;
    }

    /** Returns the ledger of prompt parts. */
    PromptCrashLedger prompts() {
        return mPrompts;
    }

    /** Updates the ledgers; returns whether requests that wait may have to be refused. */
    boolean tick() {
        mRequests.tick();
        tellHolds();
        return mPrompts.tick();
    }

    /** Tells random peers what is held back, as nodes that have started do not know it. */
    private void tellHolds() {
        long now = mClock.millis();
        if (now < mNextHoldsMilliseconds) {
            return;
        }
        mNextHoldsMilliseconds = now + HOLDS_INTERVAL_MILLISECONDS;
        mPrompts.holds()
                .ifPresent(
                        holds -> {
                            List<NodeName> peers = new ArrayList<>(mMembers.peers());
                            Collections.shuffle(peers, mRandom);
                            peers.stream()
                                    .limit(HOLDS_PEERS)
                                    .forEach(peer -> mNetwork.send(peer, Subject.CRASHES, holds));
                        });
    }

    /** Returns whether this node, of all nodes, tries a part that was held back. */
    private boolean triesPart(long part) {
        Set<NodeName> nodes = new HashSet<>(mMembers.peers());
        nodes.add(mNode);
        String duty = TRY_DUTY_PREFIX + Long.toHexString(part);
        return Rendezvous.first(duty, nodes).equals(Optional.of(mNode));
    }
}
