package org.foxtailridge.node.duty;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.platform.vm.Vm;
import org.foxtailridge.platform.vm.VmList;
import org.foxtailridge.platform.vm.VmPage;

/** Follows which nodes there are. */
@Singleton
public final class MembershipDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(MembershipDuty.class);
    private static final int RING_TASKS = 4096;
    private static final Duration VM_LIST_INTERVAL = Duration.ofMillis(500);

    private final DutyThread mThread;
    private final VmList mVms;
    private final PeerNetwork mPeers;
    private final NodeName mSelf;
    private final List<Consumer<List<NodeName>>> mListeners = new CopyOnWriteArrayList<>();
    private List<NodeName> mNodes = List.of();

    /** Creates the duty and starts its thread. */
    @Inject
    public MembershipDuty(VmList vms, PeerNetwork peers, PeerIdentity identity, DutyTimer timer) {
        mVms = vms;
        mPeers = peers;
        mSelf = identity.name();
        mThread = DutyThread.start("membership", RING_TASKS);
        timer.every(VM_LIST_INTERVAL, mThread, this::readVms);
    }

    /** Adds a listener of the nodes in order of their names, this one among them. */
    public void listen(Consumer<List<NodeName>> listener) {
        mListeners.add(listener);
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
        for (Vm vm : page.vms()) {
            addresses.put(NodeName.of(vm.name()), addressOf(vm.innerAddress()));
        }
        addresses.remove(mSelf);
        mPeers.updateAddresses(addresses);
        List<NodeName> nodes =
                java.util.stream.Stream.concat(
                                addresses.keySet().stream(), java.util.stream.Stream.of(mSelf))
                        .sorted()
                        .toList();
        if (!nodes.equals(mNodes)) {
            LOGGER.info("nodes are {}", nodes);
            mNodes = nodes;
            mListeners.forEach(listener -> listener.accept(nodes));
        }
    }

    private static InetSocketAddress addressOf(String hostAndPort) {
        int separator = hostAndPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostAndPort.substring(0, separator),
                Integer.parseInt(hostAndPort.substring(separator + 1)));
    }
}
