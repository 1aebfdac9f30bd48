package org.foxtailridge.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Named;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.node.caller.CallerServer;
import org.foxtailridge.node.caller.RunningRequests;
import org.foxtailridge.node.duty.ClaimsDuty;
import org.foxtailridge.node.duty.ConfigurationDuty;
import org.foxtailridge.node.duty.DutyTimer;
import org.foxtailridge.node.duty.LeasesDuty;
import org.foxtailridge.node.duty.LimitsDuty;
import org.foxtailridge.node.duty.MembershipDuty;
import org.foxtailridge.node.duty.NodeState;
import org.foxtailridge.node.duty.ObjectivesDuty;
import org.foxtailridge.node.duty.PlacementDuty;
import org.foxtailridge.node.duty.QuarantineDuty;
import org.foxtailridge.node.duty.ReportsDuty;
import org.foxtailridge.node.duty.RoutingDuty;
import org.foxtailridge.node.operator.OperatorServer;
import org.foxtailridge.node.operator.StatusReport;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.node.settings.NodeSettings;

/**
 * The one process on an entry VM, also used in-process by the quickstart and by tests.
 *
 * <pre>{@code
 * Node node = Node.start(NodeSettings.read(Path.of("node.toml")));
 * node.callerAddress();
 * node.stop();
 * }</pre>
 */
@Singleton
public final class Node {
    private static final Logger LOGGER = LogManager.getLogger(Node.class);
    private static final long HANDOVER_SECONDS = 3;
    private static final int HANDOVER_TICKS = 4;

    private final NodeSettings mSettings;
    private final CallerServer mCallers;
    private final OperatorServer mOperators;
    private final PeerNetwork mPeers;
    private final LeasesDuty mLeases;
    private final LimitsDuty mLimits;
    private final MembershipDuty mMembership;
    private final RoutingDuty mRouting;
    private final ClaimsDuty mClaims;
    private final PlacementDuty mPlacement;
    private final QuarantineDuty mQuarantine;
    private final ObjectivesDuty mObjectives;
    private final RunningRequests mRunning;
    private final NodeState mState;
    private final StatusReport mStatus;
    private final DutyTimer mTimer;
    private final List<AutoCloseable> mDuties;
    private final List<HttpClient> mClients;

    @Inject
    Node(
            NodeSettings settings,
            CallerServer callers,
            OperatorServer operators,
            PeerNetwork peers,
            ConfigurationDuty configuration,
            LimitsDuty limits,
            RoutingDuty routing,
            ReportsDuty reports,
            QuarantineDuty quarantine,
            ClaimsDuty claims,
            PlacementDuty placement,
            MembershipDuty membership,
            LeasesDuty leases,
            ObjectivesDuty objectives,
            RunningRequests running,
            NodeState state,
            StatusReport status,
            DutyTimer timer,
            @Named("control") HttpClient controlClient,
            @Named("endpoints") HttpClient endpointClient) {
        mSettings = settings;
        mCallers = callers;
        mOperators = operators;
        mPeers = peers;
        mLeases = leases;
        mLimits = limits;
        mMembership = membership;
        mRouting = routing;
        mClaims = claims;
        mPlacement = placement;
        mQuarantine = quarantine;
        mObjectives = objectives;
        mRunning = running;
        mState = state;
        mStatus = status;
        mTimer = timer;
        mDuties =
                List.of(
                        configuration,
                        reports,
                        routing,
                        quarantine,
                        claims,
                        leases,
                        membership,
                        limits,
                        objectives);
        mClients = List.of(controlClient, endpointClient);
    }

    /** Starts a node; it is ready once {@link #isReady} says so. */
    public static Node start(NodeSettings settings) {
        Node node = DaggerNodeComponent.factory().create(settings).node();
        node.listen();
        return node;
    }

    /** Returns the address that callers use. */
    public String callerAddress() {
        return mCallers.address();
    }

    /** Returns the address that operators use. */
    public String operatorAddress() {
        return mOperators.address();
    }

    /** Returns host and port for other nodes. */
    public String innerAddress() {
        return mSettings.peerHost() + ":" + mPeers.port();
    }

    /** Returns whether the node takes requests. */
    public boolean isReady() {
        return mStatus.read().ready();
    }

    /** Stops gracefully: takes no new request, finishes those that run, then closes everything. */
    public void stop() {
        LOGGER.info("stopping with {} requests running", mRunning.count());
        mState.beginStop();
        mMembership.leave();
        CompletableFuture<Void> homesReleased = mLimits.releaseHomes();
        CompletableFuture<Void> leasesReleased = mLeases.releaseAll();
        mRouting.stopAccepting();
        waitFor("requests to end", mRunning.drained(mSettings.stopTimeout()));
        waitFor("leases to be released", within(leasesReleased));
        waitFor("home nodes to be taken over", within(homesReleased));
        pause(HANDOVER_TICKS);
        mObjectives.handOver().join();
        mCallers.stop();
        mTimer.close();
        mDuties.forEach(Node::closeQuietly);
        mPeers.close();
        mClients.forEach(client -> closeQuietly(client::stop));
        mOperators.stop();
        LOGGER.info("stopped");
    }

    private void listen() {
        mClaims.start();
        mPlacement.start();
        mQuarantine.start();
        mOperators.start();
        mCallers.start();
        LOGGER.info(
                "listening for callers on {}, operators on {}, nodes on {}",
                callerAddress(),
                operatorAddress(),
                innerAddress());
    }

    private static CompletableFuture<Void> within(CompletableFuture<Void> step) {
        return step.orTimeout(HANDOVER_SECONDS, TimeUnit.SECONDS);
    }

    private static void waitFor(String what, CompletableFuture<Void> step) {
        try {
            step.join();
        } catch (CompletionException late) {
            LOGGER.warn("did not wait longer for {}", what);
        }
    }

    /** Lets the limiter send what it hands over. */
    private void pause(int ticks) {
        CompletableFuture<Void> passed = new CompletableFuture<>();
        mTimer.after(
                Duration.ofMillis((long) ticks * TokenLimiter.TICK_MILLISECONDS),
                () -> passed.complete(null));
        passed.join();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception failure) {
            LOGGER.warn("a part of the node did not close", failure);
        }
    }
}
