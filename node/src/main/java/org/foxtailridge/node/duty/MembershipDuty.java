package org.foxtailridge.node.duty;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.clients.vm.Vm;
import org.foxtailridge.clients.vm.VmList;
import org.foxtailridge.clients.vm.VmPage;
import org.foxtailridge.clients.vm.VmState;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.membership.probe.ListedVm;
import org.foxtailridge.membership.probe.Membership;
import org.foxtailridge.membership.probe.MembershipOutbox;
import org.foxtailridge.membership.probe.MembershipView;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.membership.MembershipMessage;

/** Follows which nodes are live: reads the VM list and probes other nodes. */
@Singleton
public final class MembershipDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(MembershipDuty.class);
    private static final int RING_TASKS = 4096;
    private static final Duration VM_LIST_INTERVAL = Duration.ofMillis(500);
    private static final Duration TICK = Duration.ofMillis(100);

    private final DutyThread mThread;
    private final VmList mVms;
    private final PeerNetwork mPeers;
    private final Membership mMembership;
    private final List<Consumer<MembershipView>> mListeners = new CopyOnWriteArrayList<>();
    private volatile MembershipView mView;

    /** Creates the duty and starts its thread. */
    @Inject
    public MembershipDuty(
            VmList vms,
            PeerNetwork peers,
            PeerMessages messages,
            PeerIdentity identity,
            Clock clock,
            DutyTimer timer) {
        mVms = vms;
        mPeers = peers;
        mMembership =
                Membership.builder(identity.name(), identity.dataCentre())
                        .incarnation(identity.incarnation())
                        .clock(clock)
                        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(identity.seed()))
                        .outbox(new Outbox())
                        .build();
        mView = mMembership.view();
        mThread = DutyThread.start("membership", RING_TASKS);
        messages.receive(Subject.MEMBERSHIP, this::onMessage);
        timer.every(VM_LIST_INTERVAL, mThread, this::readVms);
        timer.every(TICK, mThread, mMembership::tick);
    }

    /** Adds a listener of changes; it is called on this duty's thread. */
    public void listen(Consumer<MembershipView> listener) {
        mListeners.add(listener);
        listener.accept(mView);
    }

    /** Returns what is known about all nodes. */
    public MembershipView view() {
        return mView;
    }

    /** Announces that this node leaves. */
    public void leave() {
        mThread.offer(mMembership::leave);
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void readVms() {
        mVms.read()
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                mThread.offer(() -> onVms(page));
                            }
                        });
    }

    private void onVms(VmPage page) {
        Map<NodeName, InetSocketAddress> addresses = new HashMap<>();
        List<ListedVm> listed = new ArrayList<>();
        for (Vm vm : page.vms()) {
            NodeName node = NodeName.of(vm.name());
            addresses.put(node, addressOf(vm.innerAddress()));
            listed.add(
                    new ListedVm(
                            node,
                            DataCentreName.of(vm.dataCentre()),
                            vm.state() == VmState.LEAVING));
        }
        mPeers.updateAddresses(addresses);
        mMembership.onVmList(listed);
    }

    private void onMessage(NodeName sender, ByteString payload) {
        try {
            MembershipMessage message = MembershipMessage.parseFrom(payload);
            mThread.offer(() -> mMembership.onMessage(sender, message));
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("node {} sent a message of membership that can't be read", sender);
        }
    }

    private static InetSocketAddress addressOf(String hostAndPort) {
        int separator = hostAndPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostAndPort.substring(0, separator),
                Integer.parseInt(hostAndPort.substring(separator + 1)));
    }

    /** Carries out what membership asks for. */
    private final class Outbox implements MembershipOutbox {
        @Override
        public void send(NodeName node, MembershipMessage message) {
            mPeers.send(node, Subject.MEMBERSHIP, message);
        }

        @Override
        public void changed(MembershipView view) {
            LOGGER.info("nodes that take duties are {}", view.dutyNodes());
            mView = view;
            mListeners.forEach(listener -> listener.accept(view));
        }
    }
}
