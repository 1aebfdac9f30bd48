package org.foxtailridge.node.operator;

import java.util.List;
import java.util.Set;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.node.platform.PlatformCut;

/** Cuts this node off from others and from the platform, as tests demand. */
@Singleton
final class FaultSwitches {
    private final PeerNetwork mPeers;
    private final PlatformCut mPlatformCut;

    @Inject
    FaultSwitches(PeerNetwork peers, PlatformCut platformCut) {
        mPeers = peers;
        mPlatformCut = platformCut;
    }

    /**
     * What this node is cut off from; replaces the former cut.
     *
     * @param nodes names of nodes whose messages are dropped in both directions
     * @param platform whether the log and the VM list can't be reached
     */
    record Cut(List<String> nodes, boolean platform) {}

    void apply(Cut cut) {
        Set<String> nodes = cut.nodes() == null ? Set.of() : Set.copyOf(cut.nodes());
        mPeers.cut(node -> nodes.contains(node.value()));
        mPlatformCut.set(cut.platform());
    }
}
