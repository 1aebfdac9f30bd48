package org.foxtailridge.node.operator;

import java.time.Clock;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.node.caller.RunningRequests;
import org.foxtailridge.node.duty.ConfigurationView;
import org.foxtailridge.node.duty.LeasesDuty;
import org.foxtailridge.node.duty.MembershipDuty;
import org.foxtailridge.node.duty.NodeState;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;

/** Gathers what {@code /status} tells. */
@Singleton
public final class StatusReport {
    private final PeerIdentity mIdentity;
    private final ConfigurationView mConfiguration;
    private final NodeState mState;
    private final LeasesDuty mLeases;
    private final MembershipDuty mMembership;
    private final RunningRequests mRunning;
    private final PeerNetwork mPeers;
    private final Clock mClock;

    /** Creates the report of this node. */
    @Inject
    public StatusReport(
            PeerIdentity identity,
            ConfigurationView configuration,
            NodeState state,
            LeasesDuty leases,
            MembershipDuty membership,
            RunningRequests running,
            PeerNetwork peers,
            Clock clock) {
        mIdentity = identity;
        mConfiguration = configuration;
        mState = state;
        mLeases = leases;
        mMembership = membership;
        mRunning = running;
        mPeers = peers;
        mClock = clock;
    }

    /** Returns the status as of now. */
    public NodeStatus read() {
        return new NodeStatus(
                mIdentity.name().value(),
                mIdentity.dataCentre().value(),
                mIdentity.incarnation(),
                mClock.millis(),
                mConfiguration.isReady() && !mState.isStopping(),
                mState.isStopping(),
                mConfiguration.current().offset(),
                mConfiguration.staleness().toMillis(),
                mConfiguration.problem(),
                mLeases.holding().held().keySet().stream().sorted().toList(),
                mMembership.view().liveNodes().stream().map(NodeName::value).toList(),
                mRunning.count(),
                mPeers.sentMessages(),
                mPeers.sentBytes());
    }
}
