package org.foxtailridge.node.duty;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.node.caller.RefusedException;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.peer.PeerNetwork;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.objectives.count.RequestOutcome;
import org.foxtailridge.objectives.handover.CountsHandover;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.objectives.BurnCounts;
import org.foxtailridge.protocol.objectives.ObjectivesMessage;

/** Counts the events of service-level objectives on a thread of its own. */
@Singleton
public final class ObjectivesDuty implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(ObjectivesDuty.class);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAXIMUM_SERIES = 2_000;
    private static final int MAXIMUM_HANDOVER_BYTES = 3 * 1024 * 1024;

    private final DutyThread mThread;
    private final ObjectiveCounters mCounters;
    private final CountsHandover mHandover;
    private final ConfigurationView mView;
    private final MembershipDuty mMembership;
    private final PeerIdentity mIdentity;
    private final CompletableFuture<Boolean> mHandedOn = new CompletableFuture<>();
    private Configuration mApplied = Configuration.empty();
    private boolean mBegun;

    /** Creates the duty and starts its thread. */
    @Inject
    public ObjectivesDuty(
            NodeSettings settings,
            PeerIdentity identity,
            Clock clock,
            ConfigurationView configuration,
            MembershipDuty membership,
            PeerNetwork peers,
            PeerMessages messages,
            DutyTimer timer) {
        mView = configuration;
        mMembership = membership;
        mIdentity = identity;
        mCounters = ObjectiveCounters.create(identity.name().value(), clock, MAXIMUM_SERIES);
        mHandover =
                new CountsHandover(
                        mCounters,
                        clock,
                        RETRY_INTERVAL,
                        (node, message) ->
                                peers.send(NodeName.of(node), Subject.OBJECTIVES, message));
        mThread = DutyThread.start("objectives", settings.ringTasks());
        configuration.listen((former, current) -> mThread.offer(this::configure));
        messages.receive(Subject.OBJECTIVES, this::onMessage);
        timer.every(TICK, mThread, this::tick);
    }

    /** Counts a request that has ended; left out once the counts are being handed on. */
    public void record(RequestOutcome outcome) {
        mThread.offer(
                () -> {
                    configure();
                    if (!mBegun) {
                        mCounters.record(outcome);
                    }
                });
    }

    /**
     * Returns what this node has counted; fails with {@link RefusedException} when the ring is
     * full, and when the duty does not answer within two seconds.
     */
    public CompletableFuture<BurnCounts> counts() {
        CompletableFuture<BurnCounts> counts = new CompletableFuture<>();
        if (!mThread.offer(() -> counts.complete(mHandover.counts()))) {
            counts.completeExceptionally(RefusedException.overloaded("the ring of objectives"));
        }
        return counts.orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Hands the counts to another node; to be called once all requests have ended.
     *
     * @return whether the other node has taken them; false when there is none, when they don't fit
     *     into one message, or when they are not acknowledged within two seconds. Never fails
     */
    public CompletableFuture<Boolean> handOver() {
        if (!mThread.offer(this::beginHandover)) {
            mHandedOn.complete(false);
        }
        return mHandedOn.copy().completeOnTimeout(false, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void beginHandover() {
        if (mBegun) {
            return;
        }
        mBegun = true;
        List<NodeName> others =
                mMembership.view().dutyNodes().stream()
                        .filter(node -> !node.equals(mIdentity.name()))
                        .toList();
        if (others.isEmpty()) {
            LOGGER.warn("no other node takes the counts of objectives");
            mHandedOn.complete(false);
            return;
        }
        int bytes = mCounters.counts().getSerializedSize();
        if (bytes > MAXIMUM_HANDOVER_BYTES) {
            LOGGER.warn("counts of objectives are too large to be handed on: {} bytes", bytes);
            mHandedOn.complete(false);
            return;
        }
        int chosen = (int) Math.floorMod(mIdentity.incarnation(), (long) others.size());
        String id = mIdentity.name().value() + "-" + mIdentity.incarnation();
        mHandover.begin(others.get(chosen).value(), id);
    }

    private void tick() {
        configure();
        mHandover.tick();
    }

    private void configure() {
        Configuration current = mView.current();
        if (current != mApplied) {
            mCounters.configure(current.all(Objective.class));
            mApplied = current;
        }
    }

    private void onMessage(NodeName sender, ByteString payload) {
        try {
            ObjectivesMessage message = ObjectivesMessage.parseFrom(payload);
            mThread.offer(() -> handle(sender, message));
        } catch (InvalidProtocolBufferException unreadable) {
            LOGGER.warn("node {} sent a message of objectives that can't be read", sender);
        }
    }

    private void handle(NodeName sender, ObjectivesMessage message) {
        configure();
        mHandover.handle(sender.value(), message);
        if (mHandover.isDone()) {
            mHandedOn.complete(true);
        }
    }
}
